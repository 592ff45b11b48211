import type UndiciUpstreamClient from '../adapters/http/UndiciUpstreamClient.ts';
import type PrometheusMetrics from '../adapters/metrics/PrometheusMetrics.ts';
import DisabledClaimGate from '../application/claims/DisabledClaimGate.ts';
import type DomainExchange from '../application/fleet/DomainExchange.ts';
import DomainGate from '../application/fleet/DomainGate.ts';
import DomainLoad from '../application/fleet/DomainLoad.ts';
import type FleetView from '../application/fleet/FleetView.ts';
import type SuspicionObserver from '../application/fleet/SuspicionObserver.ts';
import RequestHandler from '../application/requests/RequestHandler.ts';
import type { RequestHandlerOptions } from '../application/requests/RequestHandler.ts';
import type StopLimiter from '../application/requests/StopLimiter.ts';
import UpstreamDispatcher from '../application/requests/UpstreamDispatcher.ts';
import type { UpstreamDispatcherOptions } from '../application/requests/UpstreamDispatcher.ts';
import type SuspicionTracker from '../domain/detection/SuspicionTracker.ts';
import computeCosts, { defaultAnswerBytes } from '../domain/requests/computeCosts.ts';
import LowestCostBalancer from '../domain/requests/LowestCostBalancer.ts';
import type { BalancerCosts } from '../domain/requests/LowestCostBalancer.ts';
import type UsableUpstream from '../domain/requests/UsableUpstream.ts';
import type { FleetEntrySettings } from '../domain/settings/FleetSettings.ts';
import type UpstreamStatements from '../domain/statements/UpstreamStatements.ts';
import { loadHalfLifeMs } from './fleetTimes.ts';

/** Parts of an entry host that its handler of requests uses. */
export interface FleetHandlerParts extends Required<
  Pick<RequestHandlerOptions, 'clock' | 'random' | 'log' | 'dialect' | 'budgets' | 'gates'>
> {
  readonly settings: Pick<FleetEntrySettings, 'failureDomain' | 'otherDomainPrice'>;
  readonly view: FleetView;
  readonly upstreamClient: UndiciUpstreamClient;
  readonly exchange: DomainExchange;
  readonly observer: SuspicionObserver;
  readonly suspicions: SuspicionTracker;
  readonly statements: UpstreamStatements;
  readonly stopLimiter: StopLimiter;
  readonly metrics: PrometheusMetrics;
}

function createBalancer(
  parts: FleetHandlerParts,
  readRisk: NonNullable<UpstreamDispatcherOptions['readRisk']>,
): LowestCostBalancer {
  const { clock, settings, observer, statements } = parts;
  const readCosts = (operation: string, retryScarcity: number): BalancerCosts =>
    computeCosts({
      otherDomainPrice: settings.otherDomainPrice,
      answerBytes: observer.readAverageAnswerBytes(operation) ?? defaultAnswerBytes,
      retryScarcity,
    });
  return new LowestCostBalancer({
    ...{ readCosts, readRisk, loadHalfLifeMs },
    readLimitUse: ({ record }) => statements.computeLimitUse(record, clock.now()),
  });
}

function createDispatcher(parts: FleetHandlerParts): UpstreamDispatcher {
  const { clock, random, log, dialect, settings, view, upstreamClient } = parts;
  const { exchange, observer, suspicions, statements, stopLimiter } = parts;
  const readRisk = ({ record }: UsableUpstream): number =>
    suspicions.getRisk(record.upstream, record.incarnation, clock.now());
  return new UpstreamDispatcher({
    ...{ clock, random, log, dialect, upstreamClient, observer, stopLimiter, readRisk },
    balancer: createBalancer(parts, readRisk),
    pool: view,
    connections: upstreamClient,
    loadTracker: new DomainLoad({ exchange }),
    loadHalfLifeMs,
    failureDomain: settings.failureDomain,
    gate: new DomainGate({ clock, log, statements, exchange }),
    estimateLongMs: (operation) => observer.estimateLongMs(operation),
    estimateTypicalMs: (operation) => observer.estimateTypicalMs(operation),
  });
}

/** Creates the handler of callers' requests in a fleet that is found through seeds. */
export default function createFleetHandler(parts: FleetHandlerParts): RequestHandler {
  const { clock, random, log, dialect, budgets, gates, view, metrics } = parts;
  return new RequestHandler({
    ...{ clock, random, log, dialect, budgets, gates },
    activePreset: view,
    waitReady: (deadline) => view.waitReady(deadline),
    claims: new DisabledClaimGate(),
    dispatcher: createDispatcher(parts),
    observer: metrics,
    teamObserver: metrics.teams,
  });
}
