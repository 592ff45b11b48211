import { readFile } from 'node:fs/promises';

import { describe, expect, it } from 'vitest';

import errorAnswers from '../../src/domain/errors/errorAnswers.ts';

describe('docs/errors.md', () => {
  // Guards against an operators' page that lists another status or outcome than an entry host
  // returns.
  it('should list every error kind with its status and outcome', async () => {
    const page = await readFile(new URL('../../docs/errors.md', import.meta.url), 'utf8');
    const rows = page.split('\n').filter((line) => line.startsWith('| `'));
    const expected = Object.entries(errorAnswers).map(
      ([kind, { status, outcome }]) => `| \`${kind}\` | ${status} | ${outcome} |`,
    );

    expect(rows.map((row) => row.split(' | ').slice(0, 3).join(' | ').concat(' |')).sort()).toEqual(
      expected.sort(),
    );
  });
});
