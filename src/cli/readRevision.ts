import type { CommandContext } from './Command.ts';
import UsageError from './UsageError.ts';

/** Reads the revision that a change is based on from `--based-on`. */
export default function readRevision({ values }: CommandContext): number {
  const text = values['based-on'];
  if (text !== undefined && /^\d{1,15}$/.test(text)) return Number(text);
  const shown = text === undefined ? 'missing' : JSON.stringify(text);
  throw new UsageError(
    `--based-on: value ${shown}: expected a revision that "preset list" prints, or 0 for the first change`,
  );
}
