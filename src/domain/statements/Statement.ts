/** One thing that an answer may state about its upstream. */
export type Statement<Value> =
  | { readonly kind: 'stated'; readonly value: Value }
  | { readonly kind: 'absent' }
  /** The text can't be read, so what was stated before still holds. */
  | { readonly kind: 'invalid'; readonly text: string };

export type { Statement as default };
