/** A value of a preset that is not allowed. */
export default interface InvalidValue {
  /** Path of the key in the file. */
  readonly key: string;
  readonly value: unknown;
  readonly expected: string;
}
