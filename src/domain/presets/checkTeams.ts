import findSharedKey from '../teams/findSharedKey.ts';
import type InvalidValue from './InvalidValue.ts';
import type { TeamSettings } from './Preset.ts';
import checkNumber from './checkNumber.ts';
import teamLimits, {
  maxKeysPerTeam,
  maxTeamKeys,
  maxTeams,
  teamKeyExpected,
  teamKeyPattern,
  teamNameExpected,
  teamNamePattern,
} from './teamLimits.ts';

/** Stands for a key of a team in messages, because whoever reads a key can use it. */
const hiddenKey = '(hidden)';

function checkCount(
  key: string,
  { count, maximum, noun }: { count: number; maximum: number; noun: string },
): InvalidValue | undefined {
  if (count <= maximum) return undefined;
  return { key, value: `${count} ${noun}`, expected: `expected at most ${maximum} ${noun}` };
}

function checkKeys(at: string, keys: readonly string[]): InvalidValue | undefined {
  const index = keys.findIndex((key) => !teamKeyPattern.test(key));
  return index < 0
    ? checkCount(at, { count: keys.length, maximum: maxKeysPerTeam, noun: 'keys' })
    : { key: `${at}.${index}`, value: hiddenKey, expected: teamKeyExpected };
}

function checkTeam(team: TeamSettings, index: number): InvalidValue | undefined {
  const at = `teams.${index}`;
  const { name, keys, priority = 0, requestsPerSecond, burst } = team;
  if (!teamNamePattern.test(name)) {
    return { key: `${at}.name`, value: name, expected: teamNameExpected };
  }
  return (
    checkKeys(`${at}.keys`, keys) ??
    checkNumber(`${at}.priority`, priority, teamLimits.priority) ??
    checkNumber(
      `${at}.requests_per_second`,
      requestsPerSecond ?? 0,
      teamLimits.requests_per_second,
      false,
    ) ??
    checkNumber(`${at}.burst`, burst, teamLimits.burst, false)
  );
}

function checkSharedKey(teams: readonly TeamSettings[]): InvalidValue | undefined {
  const shared = findSharedKey(teams);
  if (!shared) return undefined;
  const { first, second } = shared;
  return {
    key: `teams.${second}.keys`,
    value: hiddenKey,
    expected: `expected keys that no other team has, but teams.${first}.keys has one of them`,
  };
}

/** Finds the first invalid value of the teams of a preset; it never contains a team's key. */
export default function checkTeams(teams: readonly TeamSettings[]): InvalidValue | undefined {
  const keyCount = teams.reduce((sum, { keys }) => sum + keys.length, 0);
  return (
    checkCount('teams', { count: teams.length, maximum: maxTeams, noun: 'teams' }) ??
    checkCount('teams', { count: keyCount, maximum: maxTeamKeys, noun: 'keys' }) ??
    teams.map(checkTeam).find((invalid) => invalid !== undefined) ??
    checkSharedKey(teams)
  );
}
