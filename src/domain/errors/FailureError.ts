import type Failure from './Failure.ts';

/** Carries a failure through code that can only throw. */
export default class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(failure.message);
    this.name = 'FailureError';
    this.failure = failure;
  }
}
