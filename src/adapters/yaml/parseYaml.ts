import { parseDocument } from 'yaml';
import type * as z from 'zod';

import type Result from '../../domain/errors/Result.ts';

/** A YAML document, its source and its schema. */
export interface YamlSource<Output> {
  /** Name of the source in error messages, usually the path of the file. */
  readonly name: string;
  readonly text: string;
  readonly schema: z.ZodType<Output>;
  readonly failureKind: 'settings_invalid' | 'preset_invalid';
}

// The parser quotes what it can't read, which may be a key of a team: tokens that it does not
// expect, or the name of an alias without an anchor.
const excerptPattern = /: .*(?= at line \d)|(?<=\)): .*$/s;

/** Keys of a team whose values error messages may show. */
const plainTeamKeys: ReadonlySet<string> = new Set([
  'name',
  'priority',
  'requests_per_second',
  'burst',
]);

function readPath(document: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    document,
  );
}

// A key of a team under a wrong name is secret too.
function isOfTeam(path: readonly PropertyKey[]): boolean {
  return path[0] === 'teams' && path.length > 1;
}

function isSecret(path: readonly PropertyKey[], isUnknownKey: boolean): boolean {
  if (isUnknownKey) return isOfTeam(path);
  const name = String(path.at(-1));
  return name.endsWith('_key') || (isOfTeam(path) && !plainTeamKeys.has(name));
}

// Lists and mappings of a preset are not shown, because they may contain keys of teams.
function describeValue(value: unknown, failureKind: YamlSource<unknown>['failureKind']): string {
  const isNested = typeof value === 'object' && value !== null;
  if (isNested && failureKind === 'preset_invalid') {
    return Array.isArray(value) ? 'a list' : 'a mapping';
  }
  return JSON.stringify(value) ?? 'missing';
}

function describeIssue(
  document: unknown,
  issue: z.core.$ZodIssue,
  failureKind: YamlSource<unknown>['failureKind'],
): string {
  const isUnknownKey = issue.code === 'unrecognized_keys';
  const path = isUnknownKey ? [...issue.path, issue.keys[0] ?? ''] : issue.path;
  const key = path.length > 0 ? path.map(String).join('.') : '(top level)';
  const value = isSecret(path, isUnknownKey)
    ? '(hidden)'
    : describeValue(readPath(document, path), failureKind);
  const expected = isUnknownKey ? 'no such key is allowed here' : issue.message;
  return `key ${key}: value ${value}: ${expected}`;
}

/**
 * Parses and validates a YAML document; a failure names the source, the key, its value and what is
 * allowed.
 */
export default function parseYaml<Output>(source: YamlSource<Output>): Result<Output> {
  const fail = (detail: string): Result<Output> => ({
    ok: false,
    failure: { kind: source.failureKind, message: `${source.name}: ${detail}` },
  });
  const document = parseDocument(source.text);
  const [syntaxError] = document.errors;
  if (syntaxError) {
    const [firstLine = 'not valid YAML'] = syntaxError.message.split('\n');
    return fail(firstLine.replace(excerptPattern, ''));
  }
  let content: unknown;
  try {
    content = document.toJS({ maxAliasCount: 100 });
  } catch (error) {
    return fail((error as Error).message.replace(excerptPattern, ''));
  }
  const parsed = source.schema.safeParse(content);
  if (parsed.success) return { ok: true, value: parsed.data };
  const [issue] = parsed.error.issues;
  return fail(issue ? describeIssue(content, issue, source.failureKind) : 'not valid');
}
