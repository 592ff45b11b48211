import { describe, expect, it } from 'vitest';

import presetSchema from '../../src/adapters/trpc/presetSchema.ts';
import formatPreset from '../../src/adapters/yaml/formatPreset.ts';
import parsePreset from '../../src/adapters/yaml/parsePreset.ts';
import checkPreset from '../../src/domain/presets/checkPreset.ts';
import createChangeFingerprint from '../../src/domain/presets/createChangeFingerprint.ts';
import type Preset from '../../src/domain/presets/Preset.ts';
import type { TeamSettings } from '../../src/domain/presets/Preset.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';

const depots: TeamSettings = { name: 'depots', keys: ['key-1', 'key-2'], burst: 0 };
const limited = { ...depots, keys: ['key-3'], priority: 0, requestsPerSecond: 2.5, burst: 4 };

function getMessage(preset: Preset): string {
  const checked = checkPreset('ordinary', preset);
  return checked.ok ? 'accepted' : checked.failure.message;
}

function parseTeams(teams: string): string {
  const parsed = parsePreset('a.yaml', `${formatPreset(createPreset())}${teams}`);
  return parsed.ok ? 'accepted' : parsed.failure.message;
}

describe('presets with teams', () => {
  it.each<readonly TeamSettings[]>([[], [depots, limited]])(
    'should keep the teams %j in files and messages',
    (...teams) => {
      const preset = createPreset({ teams, routes: [createRoute({ isPublic: true })] });
      const parsed = parsePreset('a.yaml', formatPreset(preset));

      expect(parsed.ok && parsed.value).toEqual(preset);
      expect(presetSchema.parse(JSON.parse(JSON.stringify(preset)))).toEqual(preset);
    },
  );

  // Guards against refusals of a change that is sent again after an upgrade, and against stored
  // presets that an upgraded host reads as others. The hash was computed before teams existed.
  it('should encode a preset without teams as before', () => {
    const parsed = parsePreset('a.yaml', formatPreset(createPreset()));
    const preset = presetSchema.parse(JSON.parse(JSON.stringify(parsed.ok && parsed.value)));
    const change = { name: 'a', basedOn: 0, changeId: 'c', operator: 'o' };

    expect(createChangeFingerprint({ kind: 'put_preset', preset, ...change })).toBe(
      'e8af21bf319a132875080fdbfed440c6db33a38eaaff10e87c9b96602d17b608',
    );
    expect(JSON.stringify(preset)).toBe(JSON.stringify(createPreset()));
  });

  it.each<[string, readonly TeamSettings[]]>([
    ['teams.1.keys', [depots, { ...limited, keys: ['key-3', 'key-2'] }]],
    ['teams.0.keys.1', [{ ...depots, keys: ['key-1', 'key-2, key-3'] }]],
    ['teams.0.keys', [{ ...depots, keys: Array.from({ length: 1001 }, (_, i) => `key-${i}`) }]],
    ['teams.0.name: value "a\\nb"', [{ ...depots, name: 'a\nb' }]],
    ['teams.0.priority: value -1', [{ ...depots, priority: -1 }]],
    ['teams.0.requests_per_second: value -1', [{ ...depots, requestsPerSecond: -1 }]],
    ['teams.0.burst: value -0.5', [{ ...depots, burst: -0.5 }]],
    ['teams: value "50001 teams"', Array.from({ length: 50_001 }, () => ({ ...depots, keys: [] }))],
  ])('should refuse %s and print no key', (key, teams) => {
    const message = getMessage(createPreset({ teams }));

    expect(message).toContain(`preset "ordinary": key ${key}`);
    expect(message).not.toContain('key-');
  });

  it('should accept teams of the same name and a key that a team lists twice', () => {
    const teams = [{ ...depots, keys: ['key-1', 'key-1'] }, limited];

    expect(getMessage(createPreset({ teams }))).toBe('accepted');
  });

  // Guards against checks that compare each team with every other, which takes quadratic time.
  it('should accept 28,000 teams, the expected future size', () => {
    const teams = Array.from({ length: 28_000 }, (_, index) => ({
      ...limited,
      name: `team-${index}`,
      keys: [`key-${index}-a`, `key-${index}-b`],
    }));

    expect(getMessage(createPreset({ teams }))).toBe('accepted');
  });

  // Guards against keys in the output of `preset put` for a file with a mistake.
  it.each([
    ['teams.0.keys', 'teams: [{ name: depots, keys: key-1 }]'],
    ['teams.0.keys.0', 'teams: [{ name: depots, keys: [[key-1]] }]'],
    ['teams.0.apiKeys', 'teams: [{ name: depots, apiKeys: [key-1] }]'],
    ['teams.0', 'teams: [[key-1]]'],
    ['teams', 'teams: { key-1: depots }'],
    ['team', 'team: [{ name: depots, keys: [key-1] }]'],
    ['teams.0.burst: value "many"', 'teams: [{ name: depots, burst: many }]'],
  ])('should refuse a file with the wrong key %s and print no key', (key, text) => {
    const message = parseTeams(text);

    expect(message).toContain(`a.yaml: key ${key}`);
    expect(message).not.toContain('key-1');
  });

  // Guards against the same for text that is not valid YAML, which the parser quotes.
  it.each([
    ['an alias', 'teams: [{ name: depots, keys: [*key-1] }]'],
    ['a block header', 'teams:\n  - name: |key-1'],
    ['an open quote', 'teams: [{ name: depots, keys: ["key-1] }]'],
  ])('should refuse a file with %s in place of a key and print no key', (_title, text) => {
    const message = parseTeams(text);

    expect(message).toMatch(/^a\.yaml: [A-Z]/);
    expect(message).not.toContain('key-1');
  });
});
