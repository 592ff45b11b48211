import type { QuotaReport } from '../../domain/teams/QuotaCounts.ts';

/** What hosts tell each other about the requests of teams. */
export default interface QuotaLedger {
  /** Whether any team has a limit, so that hosts have to hear each other. */
  readonly isActive: boolean;
  /** Instant at which other hosts need a message although nothing else is due. */
  readonly presenceAt: number;
  /** Calls `onDue` with an instant by which the others should hear what is near its limit. */
  setOnDue(onDue: (dueAt: number) => void): void;
  /**
   * Takes what the others do not know, up to `maxRows` teams; with `isRepeat` also what they may
   * have missed. Undefined if there is nothing to tell.
   */
  takeReport(options: {
    readonly isRepeat: boolean;
    readonly maxRows: number;
  }): QuotaReport | undefined;
  /** What a host that starts needs; undefined if this host does not know it. */
  readLevels(): QuotaReport | undefined;
  /** Takes in the report of another host, or the digest of the hub. */
  acceptReport(report: QuotaReport, from: string, isDigest: boolean): void;
}
