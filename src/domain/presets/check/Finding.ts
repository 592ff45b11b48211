/** Control hosts refuse errors; a warning is probably a mistake, a note is not. */
export type FindingSeverity = 'error' | 'warning' | 'note';

/** Severity of each code that the check of a preset can report. */
export const findingSeverities = {
  document_invalid: 'error',
  value_invalid: 'error',
  floor_above_upstreams: 'error',
  route_shadowed: 'warning',
  route_without_match: 'warning',
  split_part_without_weight: 'warning',
  service_unused: 'warning',
  team_without_keys: 'warning',
  team_key_repeated: 'warning',
  objective_above_deadline: 'warning',
  body_above_memory: 'warning',
  answer_above_memory: 'warning',
  burst_without_rate: 'warning',
  rate_below_window: 'warning',
  rates_above_upstreams: 'note',
  route_added: 'note',
  route_removed: 'note',
  route_changed: 'note',
  service_added: 'note',
  service_removed: 'note',
  service_changed: 'note',
  team_added: 'note',
  team_removed: 'note',
  team_changed: 'note',
  limit_changed: 'note',
} as const satisfies Readonly<Record<string, FindingSeverity>>;

/** Closed list of what the check of a preset can report. */
export type FindingCode = keyof typeof findingSeverities;

/** Fields of `Preset` and positions in its lists, from the top level down. */
export type KeyPath = readonly (string | number)[];

/** What a rule found in a preset; it never contains a key of a team. */
export default interface Finding {
  readonly code: FindingCode;
  /** Of the checked preset; of the active one for what was removed from it. */
  readonly path: KeyPath;
  /** A plain sentence. */
  readonly message: string;
}
