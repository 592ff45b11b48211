/** A running daemon of either role. */
export default interface Daemon {
  /** Shuts down gracefully; resolves when the process may exit. */
  stop(): Promise<void>;
  /** Resolves with an error message when the daemon fails and can't recover without a restart. */
  waitFailed(): Promise<string>;
}
