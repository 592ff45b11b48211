/** A candidate that asks for pre-votes, and the last entry of its log. */
export interface PreVote {
  readonly candidateId: string;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/**
 * Whether a candidate should win against another one that asks at the same time: the one with the
 * newer log, else the one with the lower id. All replicas choose the same one, so that the votes
 * are not split.
 */
export function isPreferredCandidate(candidate: PreVote, other: PreVote): boolean {
  if (candidate.lastTerm !== other.lastTerm) return candidate.lastTerm > other.lastTerm;
  if (candidate.lastIndex !== other.lastIndex) return candidate.lastIndex > other.lastIndex;
  return candidate.candidateId <= other.candidateId;
}
