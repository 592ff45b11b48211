/** What is certain about an operation: it ran, it was not run, or neither can be said. */
type Outcome = 'ran' | 'not-run' | 'unknown';

export type { Outcome as default };
