import type ReplicaVote from './ReplicaVote.ts';

/** A candidate's question and what the asked replica knows. */
export interface VoteQuestion {
  readonly kind: 'pre_vote' | 'vote';
  readonly candidateId: string;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Set when the leader asked the candidate to take over. */
  readonly isTransfer: boolean;
  readonly own: {
    readonly vote: ReplicaVote;
    readonly lastIndex: number;
    readonly lastTerm: number;
    /** Whether this replica leads or heard from a leader within the shortest election timeout. */
    readonly hasLeader: boolean;
  };
}

/** The answer and the vote to keep on disk before it is sent. */
export interface VoteDecision {
  readonly isGranted: boolean;
  readonly vote: ReplicaVote;
}

/** Decides a vote or a pre-vote. A pre-vote changes nothing on the asked replica. */
export default function decideVote(question: VoteQuestion): VoteDecision {
  const { own, term, candidateId } = question;
  const refused: VoteDecision = { isGranted: false, vote: own.vote };
  // A replica that can't hear the leader must not disrupt those that can.
  if (own.hasLeader && !question.isTransfer) return refused;
  const isUpToDate =
    question.lastTerm > own.lastTerm ||
    (question.lastTerm === own.lastTerm && question.lastIndex >= own.lastIndex);
  if (question.kind === 'pre_vote') {
    return { isGranted: term > own.vote.term && isUpToDate, vote: own.vote };
  }
  if (term < own.vote.term) return refused;
  const votedFor = term > own.vote.term ? undefined : own.vote.votedFor;
  const isGranted = isUpToDate && (votedFor === undefined || votedFor === candidateId);
  return { isGranted, vote: { term, votedFor: isGranted ? candidateId : votedFor } };
}
