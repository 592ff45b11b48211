/** The newest term that a replica knows and the replica it voted for in it. */
export default interface ReplicaVote {
  readonly term: number;
  readonly votedFor: string | undefined;
}
