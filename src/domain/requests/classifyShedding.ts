/** Whether an upstream shed a request, and whether it had a slot for it. */
export type Shedding =
  | 'none'
  /** The upstream had no free slot, or did not state its load. */
  | 'full'
  /** The upstream stated less load than it has slots, so it does not refuse for want of room. */
  | 'free_slots';

/** What is known of a finished attempt. */
export interface SheddingInputs {
  /** Whether the upstream refused the request because of its load. */
  readonly isShed: boolean;
  /** Requests that run or wait at the upstream, by its answer; undefined if it stated none. */
  readonly reportedLoad: number | undefined;
  readonly slots: number;
}

/** Classifies an answer by the load that it states. */
export default function classifyShedding(inputs: SheddingInputs): Shedding {
  const { isShed, reportedLoad = Infinity, slots } = inputs;
  if (!isShed) return 'none';
  return reportedLoad < slots ? 'free_slots' : 'full';
}
