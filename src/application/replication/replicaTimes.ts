/** The times of a control group, in milliseconds. All its replicas use the same times. */
export interface ReplicaTimes {
  /** Interval at which a leader sends a message to each peer, also when there is nothing new. */
  readonly heartbeatMs: number;
  /** Each election timeout is drawn at random between this minimum and the maximum. */
  readonly minElectionTimeoutMs: number;
  readonly maxElectionTimeoutMs: number;
  /**
   * Time without contact between the leader and a majority after which the leader and its followers
   * no longer count as current. Longer than two heartbeats, so that one lost message does not end
   * it.
   */
  readonly quorumTimeoutMs: number;
  /** Replaces the minimum election timeout after a start, until there is contact with a leader. */
  readonly initialElectionTimeoutMs: number;
  /**
   * Time after which a call to a peer fails. Shorter than the minimum election timeout, so that one
   * lost message does not start an election.
   */
  readonly messageTimeoutMs: number;
  /** Time between two attempts of a host without a group to find or form one. */
  readonly bootstrapIntervalMs: number;
  /** A voter without contact for this long may be replaced by a caught-up learner. */
  readonly voterReplacementTimeoutMs: number;
  /** A voter without contact for this long is removed while enough other voters remain. */
  readonly voterRemovalTimeoutMs: number;
}

/** Times for a group on fast links whose traffic is not billed by the byte. */
const replicaTimes: ReplicaTimes = {
  heartbeatMs: 100,
  minElectionTimeoutMs: 500,
  maxElectionTimeoutMs: 1000,
  quorumTimeoutMs: 800,
  initialElectionTimeoutMs: 500,
  messageTimeoutMs: 400,
  bootstrapIntervalMs: 200,
  voterReplacementTimeoutMs: Infinity,
  voterRemovalTimeoutMs: Infinity,
};

export default replicaTimes;
