import type { FaultPattern } from '../faults/FaultSimulation.ts';

const bookings: Omit<FaultPattern, 'name'> = {
  upstreams: [4, 5, 3],
  unreachableCount: 0,
  slots: 4,
  maxQueue: 16,
  workMs: 320,
  workSpread: 0.3,
  requestsPerSecond: 31,
  isIdempotent: false,
  objectiveMs: 1200,
  answerBytes: 5700,
  faultMs: 9000,
  faultShare: 0.3,
  resetShare: 0.85,
  strayResetShare: 0,
};

const lookUps: Omit<FaultPattern, 'name'> = {
  ...bookings,
  upstreams: [3, 3, 1],
  workMs: 420,
  workSpread: 0.5,
  requestsPerSecond: 14,
  isIdempotent: true,
  answerBytes: 1100,
};

/**
 * Large failure domains, whose hosts learn of each other's requests late: what a host may send for
 * control is spread over more hosts.
 */
export const largeDomains: FaultPattern = {
  ...bookings,
  name: 'large domains, late knowledge',
  upstreams: [28, 26, 34],
  slots: 3,
  maxQueue: 12,
  workMs: 230,
  workSpread: 0.7,
  requestsPerSecond: 540,
  objectiveMs: 1000,
  faultMs: 12_000,
  resetShare: 0.75,
  hostsPerDomain: 22,
  exchangeDelayMs: 150,
};

/** A fleet of hundreds of hosts: 55 in each of five failure domains. */
export const largeFleet: FaultPattern = {
  ...bookings,
  name: 'large fleet, bookings',
  upstreams: [29, 36, 31, 30, 32],
  workMs: 390,
  requestsPerSecond: 509,
  objectiveMs: 1500,
  hostsPerDomain: 55,
  exchangeDelayMs: 400,
};

/** The patterns of load and faults under which the policies are compared. */
const patterns: readonly FaultPattern[] = [
  { ...bookings, name: 'bookings, calm' },
  { ...bookings, name: 'bookings, twice the load', requestsPerSecond: 66 },
  {
    ...bookings,
    name: 'bookings, twice the load, two down',
    requestsPerSecond: 60,
    unreachableCount: 2,
  },
  { ...bookings, name: 'bookings, three times the load', requestsPerSecond: 95 },
  { ...bookings, name: 'bookings, stray resets', requestsPerSecond: 50, strayResetShare: 0.05 },
  { ...bookings, name: 'bookings, longer faults', faultMs: 12_000, resetShare: 0.75 },
  { ...lookUps, name: 'look-ups, calm' },
  { ...lookUps, name: 'look-ups, twice the load', requestsPerSecond: 28 },
  { ...lookUps, name: 'look-ups, stray resets', requestsPerSecond: 20, strayResetShare: 0.1 },
];

export default patterns;
