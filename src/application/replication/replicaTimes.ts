/** The times of a control group, in milliseconds. All its replicas use the same ones. */
export interface ReplicaTimes {
  /** Time between two messages of a leader to the same peer. */
  readonly heartbeatMs: number;
  /** An election timeout is drawn between these two. */
  readonly shortestElectionMs: number;
  readonly longestElectionMs: number;
  /** Takes the place of the shortest one after a start, until a leader is heard. */
  readonly firstElectionMs: number;
  /** Shorter than the shortest election timeout, so that one lost message starts no election. */
  readonly messageTimeoutMs: number;
  /** Time between two attempts of a host without a group to find or form one. */
  readonly groupPollMs: number;
  /** A voter that was not heard for this long gives way to a host that waits for a vote. */
  readonly lostVoterMs: number;
  /** A voter that was not heard for this long loses its vote while enough others remain. */
  readonly goneVoterMs: number;
}

/** Times for a group on fast links that are not paid for by the byte. */
const replicaTimes: ReplicaTimes = {
  heartbeatMs: 100,
  shortestElectionMs: 500,
  longestElectionMs: 1000,
  firstElectionMs: 500,
  messageTimeoutMs: 400,
  groupPollMs: 200,
  lostVoterMs: Infinity,
  goneVoterMs: Infinity,
};

export default replicaTimes;
