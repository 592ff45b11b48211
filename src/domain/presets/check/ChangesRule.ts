import type Preset from '../Preset.ts';
import type { RouteSettings, TeamSettings } from '../Preset.ts';
import type Finding from './Finding.ts';
import type { FindingCode, KeyPath } from './Finding.ts';
import type PresetRule from './PresetRule.ts';
import listFields from './listFields.ts';

interface Entry {
  /** Where the entry is in its preset. */
  readonly path: KeyPath;
  /** How messages name the entry. */
  readonly name: string;
  readonly fields: object;
  /** Keys of a team, which no message contains. */
  readonly secrets?: readonly string[];
}

interface EntryCodes {
  readonly added: FindingCode;
  readonly removed: FindingCode;
  readonly changed: FindingCode;
}

// Entries of one name are paired in their order.
function createEntryMap(entries: readonly Entry[]): ReadonlyMap<string, Entry> {
  const counts = new Map<string, number>();
  return new Map(
    entries.map((entry) => {
      const count = counts.get(entry.name) ?? 0;
      counts.set(entry.name, count + 1);
      return [JSON.stringify([entry.name, count]), entry];
    }),
  );
}

function describeValue(value: unknown): string {
  return value === undefined ? 'not set' : JSON.stringify(value);
}

function compareSecrets(code: FindingCode, before: Entry, after: Entry): readonly Finding[] {
  const old = new Set(before.secrets);
  const current = new Set(after.secrets);
  const added = [...current].filter((key) => !old.has(key)).length;
  const removed = [...old].filter((key) => !current.has(key)).length;
  if (added === 0 && removed === 0) return [];
  const message = `${after.name}: ${added} keys added and ${removed} removed; had ${old.size}, has ${current.size}`;
  return [{ code, path: [...after.path, 'keys'], message }];
}

function compareFields(code: FindingCode, before: Entry, after: Entry): readonly Finding[] {
  const createMap = (entry: Entry) =>
    new Map(listFields(entry.fields).map((field) => [JSON.stringify(field.path), field]));
  const old = createMap(before);
  const current = createMap(after);
  const changes = [...new Map([...current, ...old])]
    .map(([id, { path }]) => ({ path, from: old.get(id)?.value, to: current.get(id)?.value }))
    .filter(({ from, to }) => from !== to)
    .map(({ path, from, to }) => ({
      code,
      path: [...after.path, ...path],
      message: `${after.name}: was ${describeValue(from)}, is ${describeValue(to)}`,
    }));
  return [...changes, ...compareSecrets(code, before, after)];
}

function compareEntries(
  codes: EntryCodes,
  before: readonly Entry[],
  after: readonly Entry[],
): readonly Finding[] {
  const old = createEntryMap(before);
  const current = createEntryMap(after);
  const removed = [...old]
    .filter(([id]) => !current.has(id))
    .map(([, { path, name }]) => ({ code: codes.removed, path, message: `${name} is removed` }));
  const others = [...current].flatMap(([id, entry]): readonly Finding[] => {
    const previous = old.get(id);
    if (previous) return compareFields(codes.changed, previous, entry);
    return [{ code: codes.added, path: entry.path, message: `${entry.name} is new` }];
  });
  return [...removed, ...others];
}

// Limits for all callers stand in each route too, and the first service of a split in `service`.
function createRouteEntry(
  { method, host = '', path, maxBodyBytes, service, ...fields }: RouteSettings,
  index: number,
  { limits }: Preset,
): Entry {
  return {
    path: ['routes', index],
    name: `route "${method} ${host}${path}"`,
    fields: {
      ...fields,
      ...(limits ? {} : { maxBodyBytes }),
      ...(fields.split ? {} : { service }),
      isPublic: fields.isPublic ?? false,
    },
  };
}

function createTeamEntry({ name, keys, ...fields }: TeamSettings, index: number): Entry {
  return { path: ['teams', index], name: `team "${name}"`, fields, secrets: keys };
}

function listRoutes(preset: Preset): readonly Entry[] {
  return preset.routes.map((route, index) => createRouteEntry(route, index, preset));
}

function listServices({ services }: Preset): readonly Entry[] {
  return Object.entries(services).map(([name, fields]) => ({
    path: ['services', name],
    name: `service "${name}"`,
    fields,
  }));
}

function createLimitsEntry({ fleet, limits }: Preset): Entry {
  return { path: [], name: 'limits', fields: { fleet, limits } };
}

function compareNeed(before: Preset, after: Preset): readonly Finding[] {
  const needsKeys = after.teams !== undefined;
  if (needsKeys === (before.teams !== undefined)) return [];
  const message = `requests ${needsKeys ? 'now need' : 'no longer need'} a key of a team`;
  return [{ code: 'limit_changed', path: ['teams'], message }];
}

/** Reports how a preset differs from the active one. */
export default class ChangesRule implements PresetRule {
  private readonly active: Preset;

  constructor({ active }: { readonly active: Preset }) {
    this.active = active;
  }

  listFindings(preset: Preset): readonly Finding[] {
    const { active } = this;
    const compare = (noun: 'route' | 'service' | 'team', list: (of: Preset) => readonly Entry[]) =>
      compareEntries(
        { added: `${noun}_added`, removed: `${noun}_removed`, changed: `${noun}_changed` },
        list(active),
        list(preset),
      );
    return [
      ...compare('route', listRoutes),
      ...compare('service', listServices),
      ...compareFields('limit_changed', createLimitsEntry(active), createLimitsEntry(preset)),
      ...compareNeed(active, preset),
      ...compare('team', ({ teams = [] }) => teams.map(createTeamEntry)),
    ];
  }
}
