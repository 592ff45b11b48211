/** A wrong command line or a bad file; the message names option, value and what is allowed. */
export default class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'UsageError';
  }
}
