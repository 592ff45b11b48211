/** The times of a control group, in milliseconds. All its replicas use the same ones. */
export interface ReplicaTimes {
  /** Time between two messages of a leader to the same peer. */
  readonly heartbeatMs: number;
  /** An election timeout is drawn between these two. */
  readonly minElectionTimeoutMs: number;
  readonly maxElectionTimeoutMs: number;
  /** Takes the place of the shortest one after a start, until there is contact with a leader. */
  readonly initialElectionTimeoutMs: number;
  /** Shorter than the shortest election timeout, so that one lost message starts no election. */
  readonly messageTimeoutMs: number;
  /** Time between two attempts of a host without a group to find or form one. */
  readonly bootstrapIntervalMs: number;
  /** A voter without contact for this long gives way to a host that waits for a vote. */
  readonly voterReplacementTimeoutMs: number;
  /** A voter without contact for this long loses its vote while enough others remain. */
  readonly voterRemovalTimeoutMs: number;
}

/** Times for a group on fast links that are not paid for by the byte. */
const replicaTimes: ReplicaTimes = {
  heartbeatMs: 100,
  minElectionTimeoutMs: 500,
  maxElectionTimeoutMs: 1000,
  initialElectionTimeoutMs: 500,
  messageTimeoutMs: 400,
  bootstrapIntervalMs: 200,
  voterReplacementTimeoutMs: Infinity,
  voterRemovalTimeoutMs: Infinity,
};

export default replicaTimes;
