import type { Range } from './presetLimits.ts';

/** Allowed values of the numbers of a team, by their key in the file. */
const teamLimits = {
  priority: { minimum: 0, maximum: 1000 },
  requests_per_second: { minimum: 0, maximum: 1_000_000 },
  burst: { minimum: 0, maximum: 1_000_000 },
} satisfies Readonly<Record<string, Range>>;

export default teamLimits;

/** Maximum number of teams in a preset; 28,000 are expected. */
export const maxTeams = 50_000;

/** Maximum number of keys of one team. */
export const maxKeysPerTeam = 1000;

/** Maximum number of keys in a preset, whose size is limited by that of an operator's call. */
export const maxTeamKeys = 100_000;

// Upstreams receive the name in a header, so it must be valid there.
/** Pattern of the names of teams. */
export const teamNamePattern = /^[\x21-\x7e](?:[\x20-\x7e]{0,61}[\x21-\x7e])?$/;

/** Describes `teamNamePattern` in error messages. */
export const teamNameExpected =
  'expected 1 to 63 printable ASCII characters, not starting or ending with a space';

// A proxy before this host may join repeated headers with a comma, so no key contains one.
/** Pattern of the keys of teams. */
export const teamKeyPattern = /^[\x21-\x2b\x2d-\x7e]{1,128}$/;

/** Describes `teamKeyPattern` in error messages. */
export const teamKeyExpected =
  'expected 1 to 128 printable ASCII characters without spaces and commas';
