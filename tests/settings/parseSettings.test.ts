import { describe, expect, it } from 'vitest';

import parseSettings from '../../src/adapters/yaml/parseSettings.ts';

const entryText = `
host: entry-1
failure_domain: north
role: entry
listen: { callers: 127.0.0.1:8080, platform: 127.0.0.1:8081, peers: 127.0.0.1:8082 }
control: [{ host: control-1, address: 127.0.0.1:9002 }]
peer_key: a-key-of-sixteen-letters
`;

function readMessage(text: string): string {
  const parsed = parseSettings('entry.yaml', text);
  return parsed.ok ? 'accepted' : parsed.failure.message;
}

describe('parseSettings', () => {
  it('should accept the settings of an entry host and fill in defaults', () => {
    const parsed = parseSettings('entry.yaml', entryText);

    expect(parsed).toMatchObject({
      ok: true,
      value: { role: 'entry', logLevel: 'info', listen: { callers: { port: 8080 } } },
    });
  });

  // Guards against a daemon that starts with settings that the operator did not intend.
  it.each([
    ['an unknown key', `${entryText}colour: red\n`, 'key colour: value "red": no such key'],
    [
      'a value of another type',
      entryText.replace('entry-1', '[1]'),
      'key host: value [1]: expected 1 to 63',
    ],
    [
      'a host name in place of an IP address',
      entryText.replace('127.0.0.1:8080', 'localhost:8080'),
      'key listen.callers: value "localhost:8080": expected an IP address',
    ],
    [
      'a missing address',
      entryText.replace('callers: 127.0.0.1:8080, ', ''),
      'key listen.callers: value missing: expected an IP address',
    ],
    ['an unknown role', entryText.replace('role: entry', 'role: judge'), 'one of entry, control'],
    [
      'a short key',
      entryText.replace('a-key-of-sixteen-letters', 'short'),
      'key peer_key: value (hidden): expected',
    ],
    ['broken YAML', `${entryText}  : [`, 'entry.yaml: '],
    ['an empty file', '', 'entry.yaml: key (top level)'],
  ])('should refuse %s and name the file and the cause', (_, text, expected) => {
    expect(readMessage(text)).toContain(expected);
    expect(readMessage(text)).toContain('entry.yaml: ');
  });
});
