import { describe, expect, it } from 'vitest';

import YamlPresetFormat from '../../src/cli/YamlPresetFormat.ts';
import type Preset from '../../src/domain/presets/Preset.ts';
import type { CallerLimits, RouteSettings, TeamSettings } from '../../src/domain/presets/Preset.ts';
import ChangesRule from '../../src/domain/presets/check/ChangesRule.ts';
import type { FindingCode } from '../../src/domain/presets/check/Finding.ts';
import LimitsRule from '../../src/domain/presets/check/LimitsRule.ts';
import PresetCheck from '../../src/domain/presets/check/PresetCheck.ts';
import UseRule from '../../src/domain/presets/check/UseRule.ts';
import ValuesRule from '../../src/domain/presets/check/ValuesRule.ts';
import { anyMethod } from '../../src/domain/presets/presetLimits.ts';
import createPreset, { createRoute, createService } from '../fixtures/createPreset.ts';

const format = new YamlPresetFormat();
const depots: TeamSettings = { name: 'depots', keys: ['key-1'], requestsPerSecond: 2, burst: 0 };

function listFindings(preset: Preset, active = preset) {
  // Routes by prefix come from another codec, which checks their values itself.
  const hasPrefixes = preset.routes.some(({ method }) => method === anyMethod);
  const check = new PresetCheck({
    keyNames: format.keyNames,
    rules: [
      new ValuesRule({
        listInvalidValues: (checked) => (hasPrefixes ? [] : format.listInvalidValues(checked)),
      }),
      new UseRule(),
      new LimitsRule({ maxBufferedBytes: 1_500_000, windowMs: 5000 }),
      new ChangesRule({ active }),
    ],
  });
  return check.listFindings(preset);
}

const listKeys = (preset: Preset, active = preset): readonly string[] =>
  listFindings(preset, active).map(({ code, key }) => `${code} ${key}`);

const addRoute = (changes: Partial<RouteSettings>): Preset =>
  createPreset({ routes: [...createPreset().routes, createRoute(changes)] });
const addTeam = (changes: Partial<TeamSettings>): Preset =>
  createPreset({ teams: [depots, { ...depots, name: 'sheds', keys: ['key-2'], ...changes }] });
const useService = (changes: Parameters<typeof createService>[0]): Preset =>
  createPreset({ services: { history: createService(changes) } });

const prefix = { method: anyMethod, host: 'a.example' };
const kilns = { history: createService(), kilns: createService() };
const active = createPreset({ teams: [depots] });

// The preset that has the finding, its key, and the active preset.
const cases: Readonly<
  Record<Exclude<FindingCode, 'document_invalid'>, readonly [Preset, string, Preset?]>
> = {
  value_invalid: [useService({ retryShare: 2 }), 'services.history.retry_share'],
  floor_above_upstreams: [useService({ floor: 8 }), 'services.history.floor'],
  route_shadowed: [
    createPreset({ routes: ['a', 'b', 'c'].map((name) => createRoute({ path: `/:${name}` })) }),
    'routes.2',
  ],
  route_without_match: [addRoute({ ...prefix, path: '/a*' }), 'routes.2.path'],
  split_part_without_weight: [
    addRoute({ path: '/a', split: [{ service: 'history', weight: 0 }] }),
    'routes.2.split.0.weight',
  ],
  service_unused: [createPreset({ services: kilns }), 'services.kilns'],
  team_without_keys: [addTeam({ keys: [] }), 'teams.1.keys'],
  team_key_repeated: [addTeam({ keys: ['key-2', 'key-3', 'key-2'] }), 'teams.1.keys.2'],
  objective_above_deadline: [
    addRoute({ path: '/a', objectiveMs: 2001, deadlineMs: 2000 }),
    'routes.2.objectiveMs',
  ],
  body_above_memory: [addRoute({ path: '/a', maxBodyBytes: 1_500_001 }), 'routes.2.max_body_bytes'],
  answer_above_memory: [
    addRoute({ path: '/a', maxAnswerBytes: 1_500_001 }),
    'routes.2.max_answer_bytes',
  ],
  burst_without_rate: [addTeam({ requestsPerSecond: undefined, burst: 5 }), 'teams.1.burst'],
  rate_below_window: [addTeam({ requestsPerSecond: 0.01 }), 'teams.1.requests_per_second'],
  rates_above_upstreams: [addTeam({ requestsPerSecond: 7000 }), 'teams'],
  route_added: [addRoute({ path: '/a' }), 'routes.2', createPreset()],
  route_removed: [createPreset(), 'routes.2', addRoute({ path: '/a' })],
  route_changed: [
    addRoute({ path: '/a', deadlineMs: 100 }),
    'routes.2.deadline_ms',
    addRoute({ path: '/a' }),
  ],
  service_added: [createPreset({ services: kilns }), 'services.kilns', createPreset()],
  service_removed: [createPreset(), 'services.kilns', createPreset({ services: kilns })],
  service_changed: [
    useService({ objective: { goodShare: 0.9, withinMs: 300 } }),
    'services.history.objective.good_share',
    createPreset(),
  ],
  team_added: [addTeam({}), 'teams.1', active],
  team_removed: [active, 'teams.1', addTeam({})],
  team_changed: [addTeam({ priority: 1 }), 'teams.1.priority', addTeam({})],
  limit_changed: [createPreset({ fleet: { entryHosts: 4 } }), 'fleet.entry_hosts', createPreset()],
};

describe('check of a preset', () => {
  it('should find nothing in a preset without mistakes that is active', () => {
    expect(listFindings(addTeam({}))).toEqual([]);
  });

  it.each(Object.entries(cases))('should report %s', (code, [preset, key, before]) => {
    expect(listKeys(preset, before)).toContain(`${code} ${key}`);
  });

  it('should report an objective of a service that no route allows', () => {
    const preset = useService({ objective: { goodShare: 0.9, withinMs: 2001 } });

    expect(listKeys(preset)).toEqual([
      'objective_above_deadline services.history.objective.within_ms',
    ]);
  });

  // Guards against two findings for one mistake, and against a list that ends at the first error.
  it('should report each invalid value once and all of them, errors first', () => {
    const services = { history: createService({ floor: 8, rampMs: -1 }), kilns: createService() };
    const routes = [createRoute(), createRoute()];

    expect(listKeys(createPreset({ services, routes }))).toEqual([
      'floor_above_upstreams services.history.floor',
      'value_invalid services.history.ramp_ms',
      'value_invalid routes.1',
      'service_unused services.kilns',
    ]);
  });

  // Guards against warnings about routes that do serve requests.
  it('should not report routes of other hosts, methods or longer prefixes as shadowed', () => {
    const paths = [{ path: '/a/*' }, { path: '/a/b/*' }, { path: '/a/*', host: 'b.example' }];
    const own = createPreset().routes;
    const routes = [...paths.map((changes) => createRoute({ ...prefix, ...changes })), ...own];
    const findings = new UseRule().listFindings(createPreset({ routes }));
    const last = [
      ...routes,
      createRoute({ ...prefix, method: 'GET', host: 'A.example:80', path: '/a/*' }),
    ];

    expect(findings).toEqual([]);
    expect(new UseRule().listFindings(createPreset({ routes: last }))).toMatchObject([
      { code: 'route_shadowed', path: ['routes', 5] },
    ]);
  });

  // Guards against one finding for each route where the limit is one for all callers.
  it('should report a limit for all callers once', () => {
    const limits: CallerLimits = {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 2_000_000 },
      ...{ headersTimeoutMs: 1000, idleTimeoutMs: 1000 },
    };
    const routes = createPreset().routes.map((each) => ({ ...each, maxBodyBytes: 2_000_000 }));
    const preset = createPreset({ limits, routes });
    const before = createPreset({ limits: { ...limits, maxBodyBytes: 1 } });

    expect(listKeys(preset, before)).toEqual([
      'body_above_memory limits.max_body_bytes',
      'limit_changed limits.max_body_bytes',
    ]);
  });

  // Guards against keys of teams in the output, where whoever reads it could use them.
  it('should count keys of teams that were added and removed, and print none', () => {
    const findings = listFindings(addTeam({ keys: ['key-3', 'key-3', 'key-4'] }), active);
    const changed = listFindings(
      addTeam({ keys: ['key-4'] }),
      addTeam({ keys: ['key-2', 'key-3'] }),
    );

    expect(JSON.stringify([findings, changed])).not.toContain('key-');
    expect(changed).toEqual([
      {
        ...{ severity: 'note', code: 'team_changed', key: 'teams.1.keys' },
        message: 'team "sheds": 1 keys added and 2 removed; had 2, has 1',
      },
    ]);
  });

  // Guards against an upgrade to teams that nobody notices: requests without a key are refused.
  it('should report that requests need a key of a team', () => {
    expect(listKeys(createPreset({ teams: [] }), createPreset())).toEqual(['limit_changed teams']);
  });
});
