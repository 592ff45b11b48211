import type { FaultPattern } from './FaultPattern.ts';

/** A service whose hosts learn of each other after 0.3 s, with spare slots and no faults. */
const service: Omit<FaultPattern, 'name'> = {
  upstreams: [6, 6, 6],
  unreachableCount: 0,
  slots: 6,
  maxQueue: 24,
  workMs: 400,
  workSpread: 0.3,
  requestsPerSecond: 110,
  isIdempotent: true,
  objectiveMs: 2100,
  answerBytes: 1500,
  faultMs: 9000,
  faultShare: 0,
  resetShare: 0,
  strayResetShare: 0,
  hostsPerDomain: 10,
  exchangeDelayMs: 300,
};

const from5To15 = { fromMs: 5000, untilMs: 15_000 };

/** Loads for which a host must choose well; each names what differs. */
export const placementPatterns: readonly FaultPattern[] = [
  {
    ...service,
    name: 'one domain with twice the demand of its slots',
    demand: [4, 1, 1],
    requestsPerSecond: 240,
  },
  {
    ...service,
    name: 'cold upstreams',
    requestsPerSecond: 200,
    traits: [{ ...from5To15, count: 3, workFactor: 2, weight: 0.5 }],
  },
  {
    ...service,
    name: 'slow upstreams',
    requestsPerSecond: 160,
    traits: [{ ...from5To15, count: 2, workFactor: 5 }],
  },
  {
    ...service,
    name: 'refusing upstreams',
    requestsPerSecond: 160,
    traits: [{ ...from5To15, count: 2, refusedShare: 0.85 }],
  },
  {
    ...service,
    name: 'refusing upstreams, requests that must not be repeated',
    requestsPerSecond: 160,
    isIdempotent: false,
    traits: [{ ...from5To15, count: 2, refusedShare: 0.85 }],
  },
  {
    ...service,
    name: 'all upstreams refusing half',
    upstreams: [20, 20, 20],
    hostsPerDomain: 15,
    requestsPerSecond: 200,
    traits: [{ ...from5To15, count: 20, refusedShare: 0.55 }],
  },
  {
    ...service,
    name: 'leaving upstreams',
    requestsPerSecond: 160,
    traits: [{ ...from5To15, count: 2, refusedShare: 1, unlistedMs: 300 }],
  },
];

/** Look-ups and renewals over all upstreams of a fleet with this many hosts. */
export function createReusePattern(hosts: number): FaultPattern {
  const perDomain = Math.round((1.4 * hosts) / 3);
  return {
    ...service,
    name: `${hosts} hosts`,
    upstreams: [perDomain, perDomain, perDomain],
    requestsPerSecond: 4.8 * hosts,
    hostsPerDomain: Math.round(hosts / 3),
    singleRunShare: 0.54,
  };
}
