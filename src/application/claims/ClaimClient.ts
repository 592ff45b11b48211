import type { ClaimCompletion, ClaimDecision, StoredAnswer } from '../../domain/claims/Claim.ts';
import { claimRetentionMs } from '../../domain/claims/ClaimRegistry.ts';
import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import IdempotencyKey from '../../domain/claims/IdempotencyKey.ts';
import { isStorable } from '../../domain/claims/measureAnswer.ts';
import type Clock from '../../ports/Clock.ts';
import type ClaimLink from '../../ports/ClaimLink.ts';
import type Log from '../../ports/Log.ts';
import type RandomSource from '../../ports/RandomSource.ts';
import type ClaimGate from './ClaimGate.ts';
import type { ClaimOptions, ClaimOutcome, GrantedClaim } from './ClaimGate.ts';
import ClaimQueue from './ClaimQueue.ts';
import type { PendingChange, PendingClaim } from './ClaimQueue.ts';
import ClaimSender from './ClaimSender.ts';
import Notifier from '../tasks/Notifier.ts';

/** Maximum number of changes in one batch. */
export const maxBatchChanges = 256;

// Bounds memory while the control group is unreachable: a completion with a stored answer takes
// about 10 KB.
const defaultMaxOpenAttempts = 4096;
const firstRetryDelayMs = 50;
const maxRetryDelayMs = 1000;
// Added to the expiry of a key, because the control group expires keys by its leader's clock. The
// clocks of hosts agree within 500 ms.
const expiryMarginMs = 60_000;

// Refusals that no longer apply once another attempt is released or another record expires.
const reversibleRefusals: ReadonlySet<ErrorKind> = new Set([
  'operation_in_progress',
  'key_mismatch',
  'claims_full',
]);

/** Options of the client. */
export interface ClaimClientOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  /** Host name and incarnation, for example `entry-1/1733310000000`. */
  readonly holder: string;
  /** One link to each control host. */
  readonly links: readonly ClaimLink[];
  /**
   * Maximum number of attempts that are undecided, running, or completed but not yet acknowledged.
   */
  readonly maxOpenAttempts?: number;
}

/**
 * Claims idempotency keys for one entry host. It sends one batch at a time; the changes that arrive
 * meanwhile form the next batch.
 */
export default class ClaimClient implements ClaimGate {
  private readonly options: ClaimClientOptions;

  private readonly maxOpenAttempts: number;

  private readonly queue = new ClaimQueue();

  private readonly sender: ClaimSender;

  private readonly arrival: Notifier;

  private readonly progress: Notifier;

  private openAttempts = 0;

  constructor(options: ClaimClientOptions) {
    this.options = options;
    this.maxOpenAttempts = options.maxOpenAttempts ?? defaultMaxOpenAttempts;
    this.sender = new ClaimSender(options);
    this.arrival = new Notifier(options.clock);
    this.progress = new Notifier(options.clock);
  }

  /** Sends batches until the signal aborts. The composition root awaits the promise. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    const stop = (): void => this.arrival.notify();
    signal.addEventListener('abort', stop, { once: true });
    let failedRounds = 0;
    while (!signal.aborted) {
      this.dropExpired();
      const batch = this.queue.listReady(clock.now(), maxBatchChanges);
      if (batch.length === 0) {
        await this.arrival.waitUntil(this.queue.findNextTime());
      } else if (await this.sendBatch(batch, failedRounds)) {
        failedRounds = 0;
      } else {
        failedRounds += 1;
        await clock.sleepUntil(this.computeRetryTime(failedRounds), signal);
      }
    }
    signal.removeEventListener('abort', stop);
  }

  async requestClaim({ key, fingerprint, deadline }: ClaimOptions): Promise<ClaimOutcome> {
    const { clock, random, holder } = this.options;
    const parsed = IdempotencyKey.parse(key);
    if (!parsed.ok) return { kind: 'refused', failure: parsed.failure };
    if (this.openAttempts >= this.maxOpenAttempts) {
      return this.refuseClaim(key, `${this.openAttempts} attempts are open, which is the limit`);
    }
    const claim: PendingClaim = {
      kind: 'claim',
      change: {
        kind: 'claim',
        key: parsed.value.text,
        fingerprint,
        holder,
        attempt: random.createId(),
      },
      deadline,
      decided: new AbortController(),
      decision: undefined,
      sends: 0,
    };
    this.openAttempts += 1;
    this.addPending(claim);
    await clock.sleepUntil(deadline, claim.decided.signal);
    return this.createOutcome(claim, parsed.value);
  }

  async waitIdle(deadline: number): Promise<void> {
    while (this.queue.size > 0 && this.options.clock.now() < deadline) {
      await this.progress.waitUntil(deadline);
    }
  }

  private createOutcome(claim: PendingClaim, key: IdempotencyKey): ClaimOutcome {
    const { decision } = claim;
    // If the process was paused, a granted claim may be read too late: after the deadline, the
    // request must no longer be sent.
    const isLate = this.options.clock.now() >= claim.deadline;
    if (!decision || (decision.kind === 'granted' && isLate)) {
      this.queue.removeItem(claim);
      if (claim.sends > 0) this.addRelease(claim, key);
      else this.closeAttempt();
      return this.refuseClaim(key.text, 'the control group did not decide before the deadline');
    }
    if (decision.kind === 'granted') {
      return { kind: 'granted', grantedClaim: this.createGrantedClaim(claim, key) };
    }
    // If a refused claim was sent more than once, an earlier copy may reach the control group after
    // the key is released. The group would then grant that copy and block the key, although no
    // caller waits for the key.
    const mayBeGrantedLater =
      decision.kind === 'refused' && reversibleRefusals.has(decision.failure.kind);
    if (mayBeGrantedLater && claim.sends > 1) this.addRelease(claim, key);
    else this.closeAttempt();
    if (decision.kind === 'replayed') return decision;
    if (decision.kind === 'refused') return decision;
    return this.refuseClaim(key.text, `the decision is ${decision.kind}; expected granted`);
  }

  private createGrantedClaim(claim: PendingClaim, key: IdempotencyKey): GrantedClaim {
    let isCompleted = false;
    const complete = (result: ClaimCompletion['result'], answer?: StoredAnswer): void => {
      if (isCompleted) return;
      isCompleted = true;
      this.addCompletion(claim, key, { result, answer });
    };
    return {
      completeRan: (answer) => complete('ran', isStorable(answer) ? answer : undefined),
      completeUnknown: () => complete('unknown'),
      completeNotRun: () => complete('not_run'),
    };
  }

  private addRelease(claim: PendingClaim, key: IdempotencyKey): void {
    this.addCompletion(claim, key, { result: 'not_run', answer: undefined });
  }

  private addCompletion(
    claim: PendingClaim,
    key: IdempotencyKey,
    completion: Pick<ClaimCompletion, 'result' | 'answer'>,
  ): void {
    this.addPending({
      kind: 'completion',
      change: { kind: 'complete', key: key.text, attempt: claim.change.attempt, ...completion },
      expiresAt: key.timestamp + claimRetentionMs + expiryMarginMs,
      notBefore: 0,
    });
  }

  private addPending(item: PendingChange): void {
    this.queue.addItem(item);
    this.arrival.notify();
  }

  /** Sends one batch. Returns false if no control host decided it, so the batch must be resent. */
  private async sendBatch(batch: readonly PendingChange[], failedRounds: number) {
    const { log } = this.options;
    const claims = batch.filter((item) => item.kind === 'claim');
    const sentBefore = this.sender.sendCount;
    // Counted before the batch is sent, because a claim may reach its deadline while the batch is
    // in flight.
    claims.forEach((claim) => this.recordSends(claim, 1));
    const answer = await this.sender.sendChanges(batch.map(({ change }) => change));
    claims.forEach((claim) => this.recordSends(claim, this.sender.sendCount - sentBefore - 1));
    if (!answer.ok) {
      const fields = { changes: batch.length, error: answer.failure.message };
      if (failedRounds === 0) log.warn('claims: no control host decided the batch', fields);
      return false;
    }
    if (failedRounds > 0)
      log.info('claims: a batch was decided after failed rounds', { failedRounds });
    batch.forEach((item, index) => this.recordDecision(item, answer.value[index]));
    this.progress.notify();
    return true;
  }

  private recordSends(claim: PendingClaim, sends: number): void {
    Object.assign(claim, { sends: claim.sends + sends });
  }

  private recordDecision(item: PendingChange, decision: ClaimDecision | undefined): void {
    if (!decision) return;
    if (item.kind === 'claim') {
      if (!this.queue.removeItem(item)) return;
      Object.assign(item, { decision });
      item.decided.abort();
      return;
    }
    const failure = decision.kind === 'refused' ? decision.failure : undefined;
    if (failure?.kind === 'claims_full') {
      const notBefore = this.options.clock.now() + maxRetryDelayMs;
      Object.assign(item, { notBefore });
      return;
    }
    if (failure) {
      this.options.log.warn('claims: the control group refused the completion of an attempt', {
        error: failure.message,
      });
    }
    if (this.queue.removeItem(item)) this.closeAttempt();
  }

  private dropExpired(): void {
    const expired = this.queue.takeExpired(this.options.clock.now());
    expired.forEach((change) => {
      this.options.log.warn(
        'claims: the completion of an attempt was not recorded before its key expired',
        {
          key: change.key,
          attempt: change.attempt,
        },
      );
      this.closeAttempt();
    });
    if (expired.length > 0) this.progress.notify();
  }

  private closeAttempt(): void {
    this.openAttempts -= 1;
    this.progress.notify();
  }

  private computeRetryTime(failedRounds: number): number {
    const { clock, random } = this.options;
    const delay = Math.min(maxRetryDelayMs, firstRetryDelayMs * 2 ** failedRounds);
    return clock.now() + delay * (0.5 + random.next() / 2);
  }

  private refuseClaim(key: string, detail: string): ClaimOutcome {
    const message = `claim key ${key}: ${detail}`;
    return { kind: 'refused', failure: { kind: 'claims_unavailable', message } };
  }
}
