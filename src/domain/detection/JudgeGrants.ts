import { grantMs } from './clockAllowance.ts';

/** One process that can judge a service. */
export interface JudgeIdentity {
  readonly host: string;
  /** A restarted judge has forgotten its ejections, so it counts as another one. */
  readonly incarnation: number;
}

interface Grant extends JudgeIdentity {
  readonly deadline: number;
}

/** What the grants need. */
export interface JudgeGrantsOptions {
  /** Start instant of this process. */
  readonly startedAt: number;
}

/** The promises of one reporter to recognise no other judge of a service before a deadline. */
export default class JudgeGrants {
  private readonly startedAt: number;

  private readonly grants = new Map<string, Grant>();

  constructor({ startedAt }: JudgeGrantsOptions) {
    this.startedAt = startedAt;
  }

  /**
   * Promises the service to the judge and returns the deadline of the promise. Returns undefined
   * while another judge holds one, or while a promise from before a restart may still hold.
   */
  grantJudge(service: string, judge: JudgeIdentity, now: number): number | undefined {
    if (now < this.startedAt + grantMs) return undefined;
    const held = this.grants.get(service);
    const isOther = held?.host !== judge.host || held.incarnation !== judge.incarnation;
    if (held && isOther && held.deadline > now) return undefined;
    const deadline = now + grantMs;
    this.grants.set(service, { host: judge.host, incarnation: judge.incarnation, deadline });
    return deadline;
  }
}
