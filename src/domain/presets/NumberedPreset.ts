/** A preset that operators number themselves; the one with the highest number is active. */
export default interface NumberedPreset {
  readonly number: number;
  /** The text that operators sent; only the front end that accepted it can decode it. */
  readonly document: string;
}
