import type Failure from './Failure.ts';

/** Wraps a failure for code that can report errors only by throwing. */
export default class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(failure.message);
    this.name = 'FailureError';
    this.failure = failure;
  }
}
