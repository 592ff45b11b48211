/** What is known about an operation: it ran, it did not run, or neither is certain. */
type Outcome = 'ran' | 'not-run' | 'unknown';

export type { Outcome as default };
