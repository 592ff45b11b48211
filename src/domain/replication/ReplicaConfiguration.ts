/** A replica and the host whose data folder it is bound to. */
export interface Member {
  readonly replicaId: string;
  readonly host: string;
}

/** The replicas that vote; every other replica that receives the log is a learner. */
export default interface ReplicaConfiguration {
  readonly voters: readonly Member[];
}

/** Identity of a control group. */
export interface ReplicaGroup {
  readonly groupId: string;
  /** The voters at index 0 of the log. */
  readonly founders: readonly Member[];
}
