import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { parseControlSnapshot } from '../../src/adapters/trpc/controlMessages.ts';
import type {
  AcceptedChange,
  PutPreset,
  UsePreset,
} from '../../src/domain/control/ControlCommand.ts';
import ControlStateMachine from '../../src/domain/control/ControlStateMachine.ts';
import type Result from '../../src/domain/errors/Result.ts';
import { maxRememberedChanges } from '../../src/domain/presets/PresetRegistry.ts';
import restoreSnapshot, { listParts } from '../fixtures/restoreSnapshot.ts';
import createPreset from '../fixtures/createPreset.ts';
import readFuzzSettings from '../fixtures/readFuzzSettings.ts';

type Change = PutPreset | UsePreset;

const base = { name: 'ordinary', basedOn: 0, operator: 'ana' };
const preset = createPreset();

function put(changes: Partial<PutPreset> = {}): PutPreset {
  return { kind: 'put_preset', ...base, changeId: 'c-1', preset, ...changes };
}

function use(changes: Partial<UsePreset> = {}): UsePreset {
  return { kind: 'use_preset', ...base, changeId: 'u-1', ...changes };
}

function createState() {
  let state = new ControlStateMachine({ parseSnapshot: parseControlSnapshot });
  let index = 0;
  const apply = (change: Change): Result<AcceptedChange> => {
    index += 1;
    const reply = state.applyCommand(change, { index, term: 1, proposedAt: index });
    if (reply.kind !== 'preset_change') throw new TypeError(`reply of kind ${reply.kind}`);
    return reply.result;
  };
  const restart = (): void => {
    const snapshot = state.takeSnapshot();
    state = new ControlStateMachine({ parseSnapshot: parseControlSnapshot });
    restoreSnapshot(snapshot, state.startRestore());
  };
  return { apply, restart, getRegistry: () => state.presets };
}

function describeResult(result: Result<AcceptedChange>): string | number {
  return result.ok ? result.value.revision : result.failure.kind;
}

describe('PresetRegistry', () => {
  // Guards against a lost update by an operator who did not see the last change.
  it('should refuse a put that is not based on the latest revision and name the winning change', () => {
    const { apply } = createState();
    apply(put());
    apply(put({ basedOn: 1, changeId: 'c-2', operator: 'bea' }));

    const late = apply(put({ basedOn: 1, changeId: 'c-3' }));

    expect(late).toMatchObject({
      failure: {
        kind: 'revision_conflict',
        winner: { revision: 2, operator: 'bea', changeId: 'c-2' },
      },
    });
  });

  it('should check the base revision of each preset and of the selection separately', () => {
    const { apply } = createState();
    const results = [
      put(),
      put({ name: 'peak', changeId: 'c-2' }),
      use(),
      use({ name: 'peak', changeId: 'u-2' }),
      use({ name: 'peak', basedOn: 3, changeId: 'u-3' }),
      use({ name: 'night', basedOn: 5, changeId: 'u-4' }),
      put({ basedOn: 1, changeId: 'c-3' }),
    ].map((change) => describeResult(apply(change)));

    expect(results).toEqual([1, 2, 3, 'revision_conflict', 5, 'preset_unknown', 7]);
  });

  // Guards against hosts that keep the old settings after a new revision of the active preset was
  // put.
  it('should raise the active revision when the active preset is put', () => {
    const { apply, getRegistry } = createState();
    [put(), put({ name: 'peak', changeId: 'c-2' }), use()].forEach(apply);
    apply(put({ name: 'peak', basedOn: 2, changeId: 'c-3' }));
    expect(getRegistry().getActive()?.revision).toBe(3);
    const larger = createPreset({ fleet: { entryHosts: 9 } });
    apply(put({ basedOn: 1, changeId: 'c-4', preset: larger }));

    expect(getRegistry().getActive()).toEqual({ revision: 5, name: 'ordinary', preset: larger });
    // The selection itself did not change.
    expect(describeResult(apply(use({ name: 'peak', basedOn: 3, changeId: 'u-2' })))).toBe(6);
  });

  // Guards against detection coordinators that ignore earlier numbers of entry hosts, which other
  // hosts may still use.
  it('should list earlier numbers of entry hosts, also after a restart', () => {
    const { apply, restart, getRegistry } = createState();
    const size = (entryHosts: number) => createPreset({ fleet: { entryHosts } });
    [put(), use(), put({ basedOn: 1, changeId: 'c-2', preset: size(9) })].forEach(apply);
    apply(put({ basedOn: 3, changeId: 'c-3', preset: size(4) }));
    restart();
    apply(put({ name: 'peak', changeId: 'c-4', preset: size(12) }));

    expect(getRegistry().listEarlierFleetSizes()).toEqual([
      { entryHosts: 3, replacedAt: 3 },
      { entryHosts: 9, replacedAt: 4 },
    ]);
  });

  // Guards against a resent change that is refused, or applied twice, after a snapshot.
  it('should return the first result again for a repeated change id, also after a restart', () => {
    const { apply, restart, getRegistry } = createState();
    const changes = [put(), put({ changeId: 'c-2' }), put({ basedOn: 1, changeId: 'c-3' })];
    const first = changes.map(apply);
    restart();

    expect(changes.map(apply)).toEqual(first);
    expect(getRegistry().findPreset('ordinary')?.revision).toBe(3);
  });

  // Guards against a refused change that is accepted when it is resent later.
  it('should keep refusing a change after its base revision has been created', () => {
    const { apply } = createState();
    const early = put({ basedOn: 2, changeId: 'c-9' });
    expect(describeResult(apply(early))).toBe('revision_conflict');
    apply(put({ changeId: 'c-1' }));

    expect(describeResult(apply(put({ basedOn: 2, changeId: 'c-8' })))).toBe(3);
    expect(describeResult(apply(early))).toBe('revision_conflict');
  });

  it.each([
    ['preset', put({ preset: createPreset({ fleet: { entryHosts: 9 } }) })],
    ['name', put({ name: 'peak' })],
    ['operator', put({ operator: 'bea' })],
    ['kind', use({ changeId: 'c-1' })],
  ])('should refuse a change id that was used with another %s', (_what, change) => {
    const { apply } = createState();
    apply(put());

    expect(describeResult(apply(change))).toBe('change_id_reused');
  });

  it('should recognize a resent change whose keys are in another order', () => {
    const { apply } = createState();
    apply(put());
    const { routes, services, fleet } = preset;

    expect(describeResult(apply(put({ preset: { routes, services, fleet } })))).toBe(1);
  });

  it('should remember the last 10,000 change ids, also after a restart, and forget older ones', () => {
    const { apply, restart } = createState();
    apply(put());
    Array.from({ length: maxRememberedChanges - 1 }, (_, index) =>
      apply(use({ name: 'none', changeId: `x-${index}` })),
    );
    restart();
    expect(describeResult(apply(put()))).toBe(1);
    apply(use({ name: 'none', changeId: 'one more' }));

    expect(describeResult(apply(put()))).toBe('revision_conflict');
  });

  // Guards against a partly restored state from a damaged snapshot file.
  it('should refuse a damaged snapshot and keep its state', () => {
    const state = new ControlStateMachine({ parseSnapshot: parseControlSnapshot });
    state.applyCommand(put(), { index: 1, term: 1, proposedAt: 0 });
    const snapshot = state.takeSnapshot().readPart(0);
    const damaged = [
      {},
      { ...snapshot, claims: { horizon: 0, keys: [{ key: 'no key', released: [] }] } },
      { ...snapshot, presets: { ...snapshot.presets, changes: [{ changeId: 1 }] } },
    ];

    damaged.forEach((each) => {
      const restore = state.startRestore();
      restore.addPart(snapshot);
      expect(() => restore.addPart(each)).toThrow('snapshot: key');
    });
    expect(listParts(state.takeSnapshot())).toEqual([snapshot]);
  });
});

const changeArbitrary = fc.record({
  operator: fc.constantFrom('ana', 'bea', 'cy'),
  // Each operator numbers its changes from 0, so that ids collide between operators.
  id: fc.nat({ max: 12 }),
  isPut: fc.boolean(),
  name: fc.constantFrom('ordinary', 'peak'),
  // How many changes of the same preset or selection the operator's base revision is behind.
  staleness: fc.constantFrom(0, 0, 0, 1, 2),
  entryHosts: fc.integer({ min: 1, max: 3 }),
  resends: fc.nat({ max: 2 }),
  isRestart: fc.boolean(),
});

function runChanges(
  steps: readonly (typeof changeArbitrary extends fc.Arbitrary<infer Step> ? Step : never)[],
): void {
  const { apply, restart, getRegistry } = createState();
  const revisions = new Map<string, number[]>();
  const answers = new Map<string, { content: string; answer: string }>();
  let selected: string | undefined;
  let lastActive = 0;
  let index = 0;
  steps.forEach((step) => {
    const subject = step.isPut ? `put ${step.name}` : 'use';
    const subjectRevisions = revisions.get(subject) ?? [0];
    const basedOn = subjectRevisions.at(-1 - step.staleness) ?? 0;
    const fields = { name: step.name, basedOn, operator: step.operator };
    const changeId = `${step.id}`;
    const changedPreset = createPreset({ fleet: { entryHosts: step.entryHosts } });
    const change = step.isPut
      ? put({ ...fields, changeId, preset: changedPreset })
      : use({ ...fields, changeId });
    const content = JSON.stringify(change);
    Array.from({ length: 1 + step.resends }).forEach(() => {
      index += 1;
      const remembered = answers.get(changeId);
      const answer = JSON.stringify(apply(change));
      if (remembered) {
        if (remembered.content === content) expect(answer).toBe(remembered.answer);
        else expect(answer).toContain('change_id_reused');
        return;
      }
      answers.set(changeId, { content, answer });
      const exists = step.isPut || revisions.has(`put ${step.name}`);
      const isAccepted = exists && basedOn === subjectRevisions.at(-1);
      expect(JSON.parse(answer).ok).toBe(isAccepted);
      if (!isAccepted) return;
      revisions.set(subject, [...subjectRevisions, index]);
      if (!step.isPut) selected = step.name;
    });
    if (step.isRestart) restart();
    const active = getRegistry().getActive();
    const expected = Math.max(
      revisions.get('use')?.at(-1) ?? 0,
      revisions.get(`put ${selected}`)?.at(-1) ?? 0,
    );
    expect(active?.name).toBe(selected);
    if (active) expect(active.revision).toBe(expected);
    expect(active?.revision ?? 0).toBeGreaterThanOrEqual(lastActive);
    lastActive = active?.revision ?? 0;
  });
}

describe('concurrent and resent preset changes', () => {
  const settings = readFuzzSettings('presets fuzz', 200);
  const property = fc.property(fc.array(changeArbitrary, { maxLength: 60 }), runChanges);

  // Guards against lost updates, revisions that decrease and changes that are applied twice.
  it(
    'should accept exactly the changes that are based on the latest revision',
    { timeout: settings.timeoutMs },
    () => fc.assert(property, settings.parameters),
  );
});
