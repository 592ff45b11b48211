import type Failure from './Failure.ts';

/** The value of a call, or the expected error that it failed with. */
type Result<Value> =
  { readonly ok: true; readonly value: Value } | { readonly ok: false; readonly failure: Failure };

export type { Result as default };
