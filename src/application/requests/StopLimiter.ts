/** Limits the attempts of a host that stops. */
export default interface StopLimiter {
  readonly isStopping: boolean;
  /** Whether an attempt at the service that starts now will most likely end in time. */
  mayStart(service: string): boolean;
}
