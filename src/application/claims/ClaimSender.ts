import type { ClaimChange, ClaimDecision } from '../../domain/claims/Claim.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';
import type Clock from '../../ports/Clock.ts';
import type ClaimLink from '../../ports/ClaimLink.ts';
import type RandomSource from '../../ports/RandomSource.ts';

// A commit takes a few milliseconds; an election takes up to a second, after which the next
// round finds the new leader.
const sendTimeoutMs = 1000;

/** Options of the sender. */
export interface ClaimSenderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** One link to each control host. */
  readonly links: readonly ClaimLink[];
}

interface SenderRoute {
  readonly link: ClaimLink;
  readonly mayForward: boolean;
}

/**
 * Sends each batch to the leader of the control group, through a follower when the leader cannot be
 * reached.
 */
export default class ClaimSender {
  private readonly options: ClaimSenderOptions;

  /** The route of the last batch that was decided. */
  private route: SenderRoute | undefined;

  private sends = 0;

  constructor(options: ClaimSenderOptions) {
    this.options = options;
  }

  /** Number of messages sent so far; a batch is sent again for each control host that is tried. */
  get sendCount(): number {
    return this.sends;
  }

  /**
   * Returns the decisions, or the last failure when no route to a leader was found. Never rejects.
   */
  async sendChanges(changes: readonly ClaimChange[]): Promise<Result<readonly ClaimDecision[]>> {
    const known = this.route;
    if (known) {
      const answer = await this.sendBatch(known, changes);
      if (answer.ok) return answer;
      this.route = undefined;
      if (answer.failure.kind === 'not_leader') {
        return this.findLeader(changes, known, answer.failure);
      }
    }
    return this.findLeader(changes, known, undefined);
  }

  /**
   * Tries each control host without forwarding, starting with the leader that a follower named, and
   * then the followers with forwarding.
   */
  private async findLeader(
    changes: readonly ClaimChange[],
    failedRoute: SenderRoute | undefined,
    hint: Failure | undefined,
  ): Promise<Result<readonly ClaimDecision[]>> {
    const followers = new Set<ClaimLink>();
    const tried = new Set<ClaimLink>();
    if (failedRoute && !failedRoute.mayForward) tried.add(failedRoute.link);
    if (failedRoute && hint) followers.add(failedRoute.link);
    let failure = hint;
    let next = this.chooseLink(failure, tried);
    while (next) {
      tried.add(next);
      const answer = await this.sendBatch({ link: next, mayForward: false }, changes);
      if (answer.ok) return answer;
      failure = answer.failure;
      if (failure.kind === 'not_leader') followers.add(next);
      next = this.chooseLink(failure, tried);
    }
    for (const link of followers) {
      const answer = await this.sendBatch({ link, mayForward: true }, changes);
      if (answer.ok) return answer;
      failure = answer.failure;
    }
    const message = 'send claims: no control host is known; expected at least one';
    return { ok: false, failure: failure ?? { kind: 'peer_unreachable', message } };
  }

  private chooseLink(
    failure: Failure | undefined,
    tried: ReadonlySet<ClaimLink>,
  ): ClaimLink | undefined {
    const { links, random } = this.options;
    const untried = links.filter((link) => !tried.has(link));
    const leader = failure?.kind === 'not_leader' ? failure.leader : undefined;
    return (
      untried.find(({ host }) => host === leader) ??
      untried[Math.floor(random.next() * untried.length)]
    );
  }

  private async sendBatch(
    route: SenderRoute,
    changes: readonly ClaimChange[],
  ): Promise<Result<readonly ClaimDecision[]>> {
    this.sends += 1;
    const deadline = this.options.clock.now() + sendTimeoutMs;
    const answer = await route.link.sendBatch({ changes, deadline, mayForward: route.mayForward });
    if (answer.ok) this.route = route;
    return answer;
  }
}
