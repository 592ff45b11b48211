/** Limits the attempts of a host that stops. */
export default interface StopLimiter {
  readonly isStopping: boolean;
  /** Whether an attempt of the operation that starts now will most likely end in time. */
  mayStart(operation: string): boolean;
}
