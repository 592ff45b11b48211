// As many as some connections have open at the limit of each. A request of another caller waits
// for all that were begun before it.
const maxAhead = 128;

/** Counts the requests of all connections that were begun while another one of theirs was open. */
export default class RequestsAhead {
  private count = 0;

  /** Whether no connection should begin a request before its last one was answered. */
  get isUsedUp(): boolean {
    return this.count >= maxAhead;
  }

  addRequests(change: number): void {
    this.count += change;
  }
}
