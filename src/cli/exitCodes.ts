import type ErrorKind from '../domain/errors/ErrorKind.ts';

/** Exit codes of the operators' tool; scripts rely on them. */
const exitCodes = { done: 0, refused: 1, findings: 1, wrongUse: 2, notReachable: 3 } as const;

export default exitCodes;

const unreachableKinds: ReadonlySet<ErrorKind> = new Set([
  'peer_unreachable',
  'not_leader',
  'no_quorum',
]);

/** Returns the exit code for a request to the control group that failed with this error kind. */
export function decideExitCode(kind: ErrorKind): number {
  return unreachableKinds.has(kind) ? exitCodes.notReachable : exitCodes.refused;
}
