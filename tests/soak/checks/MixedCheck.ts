import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type SoakHistory from '../SoakHistory.ts';

/** The signature and the body of a whole answer. */
export function createAnswerParts(id: string, upstream: string) {
  return { signature: `${upstream}.${id}`, body: `${id} at ${upstream}: ${'x'.repeat(200)}` };
}

/** A success is the whole answer of an upstream to this request. */
export default class MixedCheck implements SoakCheck {
  readonly name = 'MIXED';

  checkHistory(history: SoakHistory): CheckResult {
    const ran = new Set(history.list('request_ran').map(({ id, upstream }) => `${upstream}.${id}`));
    const successes = history
      .list('request_answered')
      .filter(({ status }) => status >= 200 && status < 300);
    const violations = successes
      .filter(({ id, signature, body }) => {
        const upstream = signature.slice(0, signature.lastIndexOf('.'));
        const expected = createAnswerParts(id, upstream);
        return signature !== expected.signature || body !== expected.body || !ran.has(signature);
      })
      .map(
        ({ id, signature, body }) => `request ${id} got "${signature}" with "${body.slice(0, 60)}"`,
      );
    return { checked: successes.length, violations };
  }
}
