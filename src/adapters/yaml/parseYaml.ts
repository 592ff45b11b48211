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

function readPath(document: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    document,
  );
}

function describeIssue(document: unknown, issue: z.core.$ZodIssue): string {
  const isUnknownKey = issue.code === 'unrecognized_keys';
  const path = isUnknownKey ? [...issue.path, issue.keys[0] ?? ''] : issue.path;
  const key = path.length > 0 ? path.map(String).join('.') : '(top level)';
  const isSecret = String(path.at(-1)).endsWith('_key') && !isUnknownKey;
  const value = isSecret ? '(hidden)' : (JSON.stringify(readPath(document, path)) ?? 'missing');
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
  if (syntaxError) return fail(syntaxError.message.split('\n')[0] ?? 'not valid YAML');
  let content: unknown;
  try {
    content = document.toJS({ maxAliasCount: 100 });
  } catch (error) {
    return fail((error as Error).message);
  }
  const parsed = source.schema.safeParse(content);
  if (parsed.success) return { ok: true, value: parsed.data };
  const [issue] = parsed.error.issues;
  return fail(issue ? describeIssue(content, issue) : 'not valid');
}
