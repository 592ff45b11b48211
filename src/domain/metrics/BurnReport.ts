import type { WindowCounts } from './BurnWindow.ts';
import type { ServiceBurn } from './computeBurn.ts';

/** Latency of a service, merged over hosts, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Service levels of one service, merged over all hosts that answered. */
export interface ServiceBurnReport extends ServiceBurn {
  readonly service: string;
  readonly goodShare: number;
  readonly withinMs: number;
  readonly counts: WindowCounts;
  readonly latency: LatencySummary;
}

/** The burn rates of the error budgets of all services in the fleet. */
export default interface BurnReport {
  readonly createdAt: number;
  readonly services: readonly ServiceBurnReport[];
  readonly hosts: readonly string[];
  /** Hosts that did not answer; their requests are missing from the report. */
  readonly missingHosts: readonly string[];
}
