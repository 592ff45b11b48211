/** One run of an upstream. */
export default interface UpstreamIncarnation {
  readonly upstream: string;
  /** Start of the run, in milliseconds since the epoch by the clock of the upstream. */
  readonly incarnation: number;
}
