import type { ReplicaTimes } from '../application/replication/replicaTimes.ts';

/**
 * Replication times of a control group whose traffic between failure domains is billed by the byte.
 * Upstreams and operators retry after one second, and a change has four seconds to be accepted, so
 * an election may take up to two seconds.
 */
const fleetTimes: ReplicaTimes = {
  heartbeatMs: 500,
  minElectionTimeoutMs: 1200,
  maxElectionTimeoutMs: 2000,
  messageTimeoutMs: 450,
  quorumTimeoutMs: 1700,
  bootstrapIntervalMs: 200,
  // A replica that has just started has had no contact with a leader, so it need not wait for the
  // full election timeout; the pre-vote keeps it from deposing an existing leader.
  initialElectionTimeoutMs: 300,
  // Three and a half heartbeats: a live host that lost some messages answers at least one of them.
  voterReplacementTimeoutMs: 1700,
  voterRemovalTimeoutMs: 10_000,
};

export default fleetTimes;

/** Idle timeout of a connection to a peer; heartbeats keep a connection from becoming idle. */
export const peerIdleCloseMs = 3000;

/** Timeout for connecting to an upstream; far above any round-trip time within a region. */
export const connectTimeoutMs = 400;

/** Connections from one entry host to one upstream; enough for the host's share of any burst. */
export const connectionsPerUpstream = 32;

/** Half-life of a reported load: about the time in which a queue of ten requests drains. */
export const loadHalfLifeMs = 800;
