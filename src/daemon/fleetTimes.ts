import type { ReplicaTimes } from '../application/replication/replicaTimes.ts';

/**
 * Times of a control group whose links between failure domains are paid for by the byte. Upstreams
 * and operators ask again after a second, and a change has four seconds to be accepted, so that an
 * election may take two.
 */
const fleetTimes: ReplicaTimes = {
  heartbeatMs: 500,
  minElectionTimeoutMs: 1200,
  maxElectionTimeoutMs: 2000,
  messageTimeoutMs: 450,
  bootstrapIntervalMs: 200,
  // After a start nobody was heard; a pre-vote keeps a leader that exists.
  initialElectionTimeoutMs: 300,
  // Three heartbeats and a half: a host that only lost messages answers one of them.
  voterReplacementTimeoutMs: 1700,
  voterRemovalTimeoutMs: 10_000,
};

export default fleetTimes;

/** A connection to a peer that is not used for this long is closed; every heartbeat uses it. */
export const peerIdleCloseMs = 3000;

/** Longest time to open a connection to an upstream; far above any round trip of a region. */
export const connectTimeoutMs = 400;

/** Connections of one entry host to one upstream; enough for its share of any burst. */
export const connectionsPerUpstream = 32;

/** A reported load halves in this time: a queue of some ten requests needs about as long. */
export const loadHalfLifeMs = 800;
