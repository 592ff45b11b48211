import type BufferBudget from '../requests/BufferBudget.ts';
import type BufferedBytes from '../requests/BufferedBytes.ts';
import type { ConnectionLimits } from './ConnectionLimits.ts';
import type RequestsAhead from './RequestsAhead.ts';

// The objects of a request and its answer, before any body.
const requestBytes = 6144;
// Each header field that the parser keeps, with its name and value, costs about this many times the
// four bytes that it has at least.
const unparsedFactor = 16;
// The listeners accept no longer heads; what exceeds it is discarded.
const maxUnparsedBytes = 65_536;

/** Options of an account. */
export interface ConnectionAccountOptions {
  readonly limits: ConnectionLimits;
  readonly budget: BufferBudget;
  /** Shared by the connections of a listener. */
  readonly ahead: RequestsAhead;
  /** Called when the connection has to give way to others. */
  readonly onDrop: () => void;
}

/** Counts what one connection holds of the memory of the host, at its real cost. */
export default class ConnectionAccount {
  private readonly options: ConnectionAccountOptions;

  private readonly buffer: BufferedBytes;

  private open = 0;

  private inputBytes = 0;

  constructor(options: ConnectionAccountOptions) {
    this.options = options;
    this.buffer = options.budget.openBuffer();
    this.buffer.setDropHandler(options.onDrop);
  }

  get openRequests(): number {
    return this.open;
  }

  /** Whether the connection holds more requests than any client inside the limits sends ahead. */
  get isOverfull(): boolean {
    return this.open > this.options.limits.maxParsedRequests;
  }

  /** Whether requests that were sent ahead have to wait until the others are answered. */
  get isAlone(): boolean {
    return this.options.budget.isScarce || this.options.ahead.isUsedUp;
  }

  /** Whether further bytes of the connection may be parsed. */
  get mayParse(): boolean {
    return this.open < (this.isAlone ? 1 : this.options.limits.maxOpenRequests);
  }

  addRequest(): void {
    if (this.open > 0) this.options.ahead.addRequests(1);
    this.open += 1;
    this.buffer.addBytes(requestBytes);
  }

  removeRequest(): void {
    this.open -= 1;
    if (this.open > 0) this.options.ahead.addRequests(-1);
    this.buffer.addBytes(-requestBytes);
  }

  /**
   * Sets the bytes that wait for the parser, and those of an incomplete head, trailer or chunk that
   * the parser has taken.
   */
  setInput(waitingBytes: number, unparsedBytes: number): void {
    const inputBytes = waitingBytes + unparsedFactor * Math.min(unparsedBytes, maxUnparsedBytes);
    const change = inputBytes - this.inputBytes;
    this.inputBytes = inputBytes;
    if (change !== 0) this.buffer.addBytes(change);
  }

  close(): void {
    this.buffer.release();
  }
}
