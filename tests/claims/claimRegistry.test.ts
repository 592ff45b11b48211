import { v7 } from 'uuid';
import { describe, expect, it } from 'vitest';

import type { ClaimChange, ClaimDecision, StoredAnswer } from '../../src/domain/claims/Claim.ts';
import ClaimRegistry, { claimRetentionMs } from '../../src/domain/claims/ClaimRegistry.ts';
import type { ClaimRegistryOptions } from '../../src/domain/claims/ClaimRegistry.ts';

const start = 1_800_000_000_000;
const fingerprint = 'a'.repeat(64);
const answer = { status: 201, headers: [['content-type', 'text/plain']], body: 'b2s=' } as const;

function createRegistry(options?: ClaimRegistryOptions) {
  const registry = new ClaimRegistry(options);
  let index = 0;
  const apply = (change: ClaimChange, now = start): ClaimDecision => {
    index += 1;
    const [decision] = registry.applyChanges([change], { index, term: 1, proposedAt: now });
    return decision ?? { kind: 'recorded' };
  };
  return { registry, apply };
}

function claim(key: string, attempt: string, requestFingerprint = fingerprint): ClaimChange {
  return { kind: 'claim', key, fingerprint: requestFingerprint, holder: 'entry-1/1', attempt };
}

function complete(
  key: string,
  attempt: string,
  result: 'ran' | 'unknown' | 'not_run',
  stored: StoredAnswer = answer,
): ClaimChange {
  return { kind: 'complete', key, attempt, result, answer: result === 'ran' ? stored : undefined };
}

function getRefusal(decision: ClaimDecision): string {
  return decision.kind === 'refused' ? decision.failure.kind : decision.kind;
}

// Counts how often the action starts an iteration over any map or set.
function countScans(action: () => void): number {
  let scans = 0;
  const originals = [Map.prototype, Set.prototype].flatMap((prototype) =>
    (['keys', 'values', 'entries', 'forEach', Symbol.iterator] as const).map((name) => {
      const original = Reflect.get(prototype, name) as (...values: unknown[]) => unknown;
      const replacement = function count(this: unknown, ...values: unknown[]) {
        scans += 1;
        return original.apply(this, values);
      };
      Reflect.set(prototype, name, replacement);
      return () => Reflect.set(prototype, name, original);
    }),
  );
  action();
  originals.forEach((restore) => restore());
  return scans;
}

describe('ClaimRegistry', () => {
  const key = v7({ msecs: start - 1000 });

  // Guards against a second run of an operation whose first request is still open.
  it('should grant a key to one attempt only, and again to the same attempt', () => {
    const { apply } = createRegistry();

    const kinds = [claim(key, 'a'), claim(key, 'b'), claim(key, 'a')].map((change) =>
      getRefusal(apply(change)),
    );

    expect(kinds).toEqual(['granted', 'operation_in_progress', 'granted']);
  });

  it('should refuse a key that was used for another request', () => {
    const { apply } = createRegistry();
    apply(claim(key, 'a'));

    expect(getRefusal(apply(claim(key, 'b', 'b'.repeat(64))))).toBe('key_mismatch');
  });

  it('should replay a stored answer and report when the answer was too large to keep', () => {
    const { apply } = createRegistry();
    const other = v7({ msecs: start });
    [key, other].forEach((each) => apply(claim(each, `attempt of ${each}`)));
    apply(complete(key, `attempt of ${key}`, 'ran'));
    const large = { ...answer, body: Buffer.alloc(4097).toString('base64') };
    apply(complete(other, `attempt of ${other}`, 'ran', large));

    expect(apply(claim(key, 'b'))).toEqual({ kind: 'replayed', answer });
    expect(getRefusal(apply(claim(other, 'b')))).toBe('answer_not_kept');
  });

  it('should keep an answer of exactly 4 KiB', () => {
    const { apply } = createRegistry();
    apply(claim(key, 'a'));
    apply(complete(key, 'a', 'ran', { ...answer, body: Buffer.alloc(4096).toString('base64') }));

    expect(getRefusal(apply(claim(key, 'b')))).toBe('replayed');
  });

  it('should refuse to run an operation again when its outcome is unknown', () => {
    const { apply } = createRegistry();
    apply(claim(key, 'a'));
    apply(complete(key, 'a', 'unknown'));
    // A resent or late release must not free a key whose operation may have run.
    expect(getRefusal(apply(complete(key, 'a', 'not_run')))).toBe('message_invalid');

    expect(getRefusal(apply(claim(key, 'b')))).toBe('operation_outcome_unknown');
  });

  // Guards against a release by another attempt than the holder, which would let the operation run
  // twice.
  it('should release a key only for the attempt that holds it', () => {
    const { apply } = createRegistry();
    apply(claim(key, 'a'));
    apply(complete(key, 'b', 'not_run'));
    expect(getRefusal(apply(claim(key, 'c')))).toBe('operation_in_progress');
    apply(complete(key, 'a', 'not_run'));

    expect(getRefusal(apply(claim(key, 'c')))).toBe('granted');
  });

  // Guards against a delayed claim message that claims a key after its holder has given up.
  it('should refuse a claim that arrives after its release', () => {
    const { apply } = createRegistry();
    expect(getRefusal(apply(complete(key, 'a', 'not_run')))).toBe('recorded');

    expect(getRefusal(apply(claim(key, 'a')))).toBe('claims_unavailable');
    expect(getRefusal(apply(claim(key, 'b')))).toBe('granted');
  });

  it('should refuse keys that are malformed, of another UUID version or too far in the future', () => {
    const { apply } = createRegistry();
    const invalidKeys = [
      '7',
      '8b2e2f0a-6d4c-4d6e-9d55-0d2f6c0f9e11',
      v7({ msecs: start + 300_001 }),
    ];

    expect(invalidKeys.map((text) => getRefusal(apply(claim(text, 'a'))))).toEqual(
      invalidKeys.map(() => 'key_invalid'),
    );
    expect(getRefusal(apply(claim(v7({ msecs: start + 300_000 }), 'a')))).toBe('granted');
  });

  // Guards against losing the completion of a claim that was granted by an earlier leader, whose
  // clock was ahead.
  it('should record a completion whose key is too far ahead of the clock of the leader', () => {
    const { apply } = createRegistry();
    const ahead = v7({ msecs: start + 290_000 });
    apply(claim(ahead, 'a'));

    expect(getRefusal(apply(complete(ahead, 'a', 'ran'), start - 60_000))).toBe('recorded');
  });

  // Guards against running an operation again after its record expired, also when the clock of the
  // next leader is behind.
  it('should keep refusing expired keys and drop their records', () => {
    const { registry, apply } = createRegistry();
    apply(claim(key, 'a'));
    const later = start + claimRetentionMs;

    expect(getRefusal(apply(claim(key, 'b'), later))).toBe('key_expired');
    expect(getRefusal(apply(claim(key, 'b'), start))).toBe('key_expired');
    apply(claim(v7({ msecs: later }), 'c'), later + 60_000);
    expect(registry.recordCount).toBe(1);
  });

  it('should refuse claims above the maximum number of records until records expire', () => {
    const { apply } = createRegistry({ maxRecords: 2 });
    const keys = [1, 2, 3].map((offset) => v7({ msecs: start + offset }));
    const kinds = keys.map((each) => getRefusal(apply(claim(each, each))));
    expect(kinds).toEqual(['granted', 'granted', 'claims_full']);
    expect(getRefusal(apply(complete(v7({ msecs: start }), 'x', 'not_run')))).toBe('claims_full');
    // The holder must be able to complete its claim in a full registry.
    expect(getRefusal(apply(complete(keys[0] ?? '', keys[0] ?? '', 'not_run')))).toBe('recorded');

    const later = start + claimRetentionMs + 120_000;
    expect(getRefusal(apply(claim(v7({ msecs: later }), 'd'), later))).toBe('granted');
  });

  it('should not keep answers above the maximum total size of kept answers', () => {
    const { apply } = createRegistry({ maxKeptAnswerCharacters: 5000 });
    const keys = [1, 2].map((offset) => v7({ msecs: start + offset }));
    const large = { ...answer, body: Buffer.alloc(3000).toString('base64') };
    keys.forEach((each) => {
      apply(claim(each, each));
      apply(complete(each, each, 'ran', large));
    });

    expect(keys.map((each) => getRefusal(apply(claim(each, 'b'))))).toEqual([
      'replayed',
      'answer_not_kept',
    ]);
  });

  // Guards against scanning all records at each command, which would stall a control host.
  it('should scan the records at most once in a minute and drop them when they expire', () => {
    const { registry } = createRegistry();
    const count = 20_000;
    const changes = Array.from({ length: count }, (_, index) =>
      claim(v7({ msecs: start + (index % 1000) }), `a${index}`),
    );
    registry.applyChanges(changes, { index: 1, term: 1, proposedAt: start });

    const scans = countScans(() =>
      Array.from({ length: 60_000 }, (_, index) =>
        registry.applyChanges([], { index, term: 1, proposedAt: start + index }),
      ),
    );
    expect(scans).toBeLessThanOrEqual(1);
    registry.applyChanges([], { index: 1, term: 1, proposedAt: start + claimRetentionMs + 60_000 });
    expect(registry.recordCount).toBe(0);
  });

  // Guards against running an operation twice after the disks of all control hosts were lost and a
  // new group was formed.
  it('should refuse keys from before the first selection of a preset', () => {
    const { registry, apply } = createRegistry();
    const older = v7({ msecs: start - 1000 });
    const newer = v7({ msecs: start + 1000 });
    registry.refuseThrough(start);

    expect(getRefusal(apply(claim(older, 'a')))).toBe('key_expired');
    expect(apply(claim(newer, 'b'))).toEqual({ kind: 'granted' });
  });
});
