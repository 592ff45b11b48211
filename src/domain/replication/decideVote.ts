import { isPreferredCandidate } from './PreVote.ts';
import type { PreVote } from './PreVote.ts';
import type ReplicaVote from './ReplicaVote.ts';

/** A candidate's vote request and the state of the replica that receives it. */
export interface VoteInputs {
  readonly kind: 'pre_vote' | 'vote';
  readonly candidateId: string;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Set when the leader transfers its leadership to the candidate. */
  readonly isTransfer: boolean;
  readonly receiver: {
    readonly vote: ReplicaVote;
    readonly lastIndex: number;
    readonly lastTerm: number;
    /**
     * Whether this replica leads or had contact with a leader within the minimum election timeout.
     */
    readonly hasLeader: boolean;
    /** Whether this replica voted for another candidate within the minimum election timeout. */
    readonly hasVoted: boolean;
    /** The candidate that this replica last granted a pre-vote, while that one may still win. */
    readonly preVote?: PreVote | undefined;
  };
}

/** The answer, and the vote that has to be stored on the disk before the answer is sent. */
export interface VoteDecision {
  readonly isGranted: boolean;
  readonly vote: ReplicaVote;
}

/** Decides a vote or a pre-vote. A pre-vote changes nothing on the replica that receives it. */
export default function decideVote(inputs: VoteInputs): VoteDecision {
  const { receiver, term, candidateId } = inputs;
  const refused: VoteDecision = { isGranted: false, vote: receiver.vote };
  // A candidate that lost contact with the leader must not disrupt replicas that still have it.
  if (receiver.hasLeader && !inputs.isTransfer) return refused;
  const isUpToDate =
    inputs.lastTerm > receiver.lastTerm ||
    (inputs.lastTerm === receiver.lastTerm && inputs.lastIndex >= receiver.lastIndex);
  if (inputs.kind === 'pre_vote') {
    // A later term would depose the candidate that may just be winning.
    if (receiver.hasVoted) return refused;
    if (receiver.preVote && !isPreferredCandidate(inputs, receiver.preVote)) return refused;
    return { isGranted: term > receiver.vote.term && isUpToDate, vote: receiver.vote };
  }
  if (term < receiver.vote.term) return refused;
  const votedFor = term > receiver.vote.term ? undefined : receiver.vote.votedFor;
  const isGranted = isUpToDate && (votedFor === undefined || votedFor === candidateId);
  return { isGranted, vote: { term, votedFor: isGranted ? candidateId : votedFor } };
}
