/** A running daemon of either role. */
export default interface Daemon {
  /** Stops without interrupting work; resolves when the process may exit. */
  stop(): Promise<void>;
  /** Resolves with a message when the daemon can't go on by itself. */
  waitFailed(): Promise<string>;
}
