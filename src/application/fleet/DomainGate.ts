import type AnswerStatements from '../../domain/statements/AnswerStatements.ts';
import type UpstreamIncarnation from '../../domain/statements/UpstreamIncarnation.ts';
import type { UpstreamAccess } from '../../domain/statements/UpstreamStatements.ts';
import type UpstreamStatements from '../../domain/statements/UpstreamStatements.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type UpstreamGate from '../requests/UpstreamGate.ts';
import type DomainExchange from './DomainExchange.ts';

/** Options of the gate. */
export interface DomainGateOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly statements: UpstreamStatements;
  readonly exchange: DomainExchange;
}

/**
 * Keeps to what upstreams state. Limits are kept together with the other entry hosts of the failure
 * domain, which also learn which upstreams are leaving; a pause concerns this host only.
 */
export default class DomainGate implements UpstreamGate {
  private readonly options: DomainGateOptions;

  constructor(options: DomainGateOptions) {
    this.options = options;
  }

  decideAccess(upstream: UpstreamIncarnation): UpstreamAccess {
    const { statements, clock } = this.options;
    return statements.decideAccess(upstream, clock.now());
  }

  maySend(upstream: UpstreamIncarnation): boolean {
    const { statements, clock } = this.options;
    return statements.decideStanding(upstream, clock.now()) === 'open';
  }

  getFreeAt(upstream: UpstreamIncarnation): number {
    return this.options.statements.getFreeAt(upstream);
  }

  reportStatements(
    { upstream, incarnation }: UpstreamIncarnation,
    { limit, pausedUntil, leaving }: AnswerStatements,
    sentAt: number,
  ): void {
    const { exchange } = this.options;
    const stated = { upstream, incarnation };
    // After a limit that can't be read, the one before still holds.
    if (limit.kind !== 'invalid') {
      const requestsPerSecond = limit.kind === 'stated' ? limit.value : undefined;
      exchange.reportLimit({ ...stated, requestsPerSecond }, sentAt);
    }
    if (leaving.kind === 'stated') exchange.reportLeaving(stated);
    if (pausedUntil.kind === 'stated') this.recordPause(stated, pausedUntil.value);
  }

  private recordPause(upstream: UpstreamIncarnation, until: number): void {
    const { statements, clock, log } = this.options;
    if (!statements.recordPause(upstream, until)) return;
    const pausedMs = Math.round(until - clock.now());
    log.info('detection: an upstream takes no requests for a time', { ...upstream, pausedMs });
  }
}
