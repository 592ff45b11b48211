import { validate, version } from 'uuid';

import type Result from '../errors/Result.ts';

// A UUID version 7 begins with 48 bits of milliseconds since the epoch.
const timestampHexDigits = 12;
const maxShownLength = 80;

/**
 * An idempotency key: a UUID version 7, whose embedded timestamp limits how long the key is kept.
 */
export default class IdempotencyKey {
  /** The key in lower case. */
  readonly text: string;

  /** When the caller created the key, in milliseconds since the epoch. */
  readonly timestamp: number;

  private constructor(text: string) {
    this.text = text;
    this.timestamp = Number.parseInt(text.replace('-', '').slice(0, timestampHexDigits), 16);
  }

  /** Parses a key; fails with `key_invalid` for anything but a UUID version 7. */
  static parse(text: string): Result<IdempotencyKey> {
    if (validate(text) && version(text) === 7) {
      return { ok: true, value: new IdempotencyKey(text.toLowerCase()) };
    }
    const shown = JSON.stringify(text.slice(0, maxShownLength));
    const message = `claim: key ${shown}: expected a UUID version 7`;
    return { ok: false, failure: { kind: 'key_invalid', message } };
  }
}
