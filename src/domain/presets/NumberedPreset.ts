/** A preset that operators number themselves; the highest number is in force. */
export default interface NumberedPreset {
  readonly number: number;
  /** The text that operators sent; the front end that took it can decode it. */
  readonly document: string;
}
