import type { StoredAnswer } from './Claim.ts';

/** Maximum size of the body of a stored answer, in bytes. */
export const maxStoredBodyBytes = 4096;

/** Maximum length of all header names and values of a stored answer together, in characters. */
export const maxStoredHeaderCharacters = 4096;

function countHeaderCharacters(answer: StoredAnswer): number {
  return answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, 0);
}

/** Size of an answer in memory, in characters. */
export default function measureAnswer(answer: StoredAnswer): number {
  return countHeaderCharacters(answer) + answer.body.length;
}

/** Whether an answer is small enough to be stored. */
export function isStorable(answer: StoredAnswer): boolean {
  const padding = /={0,2}$/.exec(answer.body)?.[0].length ?? 0;
  const bodyBytes = Math.floor((answer.body.length * 3) / 4) - padding;
  return (
    bodyBytes <= maxStoredBodyBytes && countHeaderCharacters(answer) <= maxStoredHeaderCharacters
  );
}
