/** What an answer says about the requests that its upstream takes from the whole fleet. */
export type LimitStatement =
  | { readonly kind: 'limited'; readonly requestsPerSecond: number }
  | { readonly kind: 'unlimited' }
  /** The statement can't be read, so what was stated before still holds. */
  | { readonly kind: 'invalid'; readonly text: string };

export type { LimitStatement as default };
