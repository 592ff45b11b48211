/** An invalid command line or file; the message names the option, the value and what is allowed. */
export default class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'UsageError';
  }
}
