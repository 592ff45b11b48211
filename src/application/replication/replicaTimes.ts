/** The times of a control group, in milliseconds. All its replicas use the same times. */
export interface ReplicaTimes {
  /** Time between two messages of a leader to the same peer. */
  readonly heartbeatMs: number;
  /** Election timeouts are drawn at random between these two. */
  readonly minElectionTimeoutMs: number;
  readonly maxElectionTimeoutMs: number;
  /** Replaces the minimum election timeout after a start, until there is contact with a leader. */
  readonly initialElectionTimeoutMs: number;
  /** Shorter than the minimum election timeout, so that one lost message starts no election. */
  readonly messageTimeoutMs: number;
  /** Time between two attempts of a host without a group to find or form one. */
  readonly bootstrapIntervalMs: number;
  /** A voter without contact for this long may be replaced by a caught-up learner. */
  readonly voterReplacementTimeoutMs: number;
  /** A voter without contact for this long is removed while enough others remain. */
  readonly voterRemovalTimeoutMs: number;
}

/** Times for a group on fast links whose traffic is not billed by the byte. */
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
