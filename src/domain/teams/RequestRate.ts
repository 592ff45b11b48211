// News of other hosts come several times in this time while a team sends requests.
const memoryMs = 800;

/** Requests per millisecond, from counts that become known one after the other. */
export default class RequestRate {
  private perMs = 0;

  private at: number;

  constructor(now: number) {
    this.at = now;
  }

  /** The rate at the last news, which holds until there are others. */
  get last(): number {
    return this.perMs;
  }

  /** Adds requests that became known at `now`; 0 if it became known that there were none. */
  addRequests(count: number, now: number): void {
    const share = Math.exp(-Math.max(0, now - this.at) / memoryMs);
    this.perMs = Math.max(0, this.perMs * share + count / memoryMs);
    this.at = now;
  }
}
