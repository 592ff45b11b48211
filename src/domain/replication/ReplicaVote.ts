/** The newest term that a replica has seen and the replica that it voted for in that term. */
export default interface ReplicaVote {
  readonly term: number;
  readonly votedFor: string | undefined;
}
