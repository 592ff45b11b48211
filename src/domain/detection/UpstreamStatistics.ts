import EvidenceScore from './EvidenceScore.ts';
import LatencyHistogram from './LatencyHistogram.ts';
import ShareWindow from './ShareWindow.ts';

/** Recent answers and the score of one test at one upstream. */
export class TestStatistics {
  readonly recent = new ShareWindow();

  readonly longer = new ShareWindow();

  readonly score = new EvidenceScore();

  addCounts(bad: number, total: number): void {
    this.recent.addCounts(bad, total);
    this.longer.addCounts(bad, total);
  }
}

/** What the pooled detector keeps about one upstream. */
export default class UpstreamStatistics {
  readonly failed = new TestStatistics();

  readonly slow = new TestStatistics();

  readonly latencies = new LatencyHistogram();

  /** Answers by failure domain of the reporter, decayed like the latencies. */
  readonly answersByDomain = new Map<string, number>();

  /** First bucket whose answers are slow; undefined until enough other answers are known. */
  slowBucket: number | undefined = undefined;

  addDomainAnswers(failureDomain: string, count: number): void {
    this.answersByDomain.set(failureDomain, (this.answersByDomain.get(failureDomain) ?? 0) + count);
  }

  /** Whether other failure domains send this upstream a tenth of its traffic or more. */
  hasOtherDomains(failureDomain: string): boolean {
    const total = [...this.answersByDomain.values()].reduce((sum, count) => sum + count, 0);
    return total - (this.answersByDomain.get(failureDomain) ?? 0) >= total / 10;
  }

  /** Ages the counts that change slowly. */
  dropOldLatencies(keep: number): void {
    this.latencies.dropOld(keep);
    this.answersByDomain.forEach((count, name) => this.answersByDomain.set(name, count * keep));
  }

  reset(): void {
    [this.failed, this.slow].forEach((test) => {
      test.score.reset();
      test.recent.dropOld(0);
      test.longer.dropOld(0);
    });
  }
}
