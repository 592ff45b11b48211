import { readFile } from 'node:fs/promises';

import { describe, expect, it } from 'vitest';

import parseFleetSettings from '../../src/adapters/yaml/parseFleetSettings.ts';

const entry = `
host: n1
failure_domain: north
failure_domains: { north: here, south: here }
seeds: ["10.0.0.1:80", "10.0.0.2:80"]
peer_key: 0123456789abcdef
role: entry
listen:
  callers: 10.0.0.3:80
  platform: 10.0.0.3:81
  peers: 10.0.0.3:82
  metrics: 10.0.0.3:83
retries: { share: 0.2, extra: 62, window: 10s }
other_domain_price: 0.25
`;

describe('settings of a fleet whose hosts discover each other through seeds', () => {
  it('should accept the settings of an entry host and fill in defaults', () => {
    const parsed = parseFleetSettings('file', entry);

    expect(parsed.ok && parsed.value).toMatchObject({
      role: 'entry',
      failureDomains: ['north', 'south'],
      retries: { share: 0.2, extra: 62, windowMs: 10_000 },
      isFirstStart: false,
      stopGraceMs: 2200,
      stopTimeoutMs: 30_000,
      suspicionMs: 9000,
    });
  });

  it.each([
    ['window: 10s', 'window: 10', 'retries.window'],
    ['share: 0.2', 'share: 2', 'retries.share'],
    ['10.0.0.1:80', 'ten:80', 'seeds.0'],
    ['role: entry', 'role: other', 'role'],
    ['other_domain_price: 0.25', 'other_domain_price: 0.25\nquotas: { slack: -1 }', 'quotas.slack'],
    ['role: entry', 'role: entry\nmax_memory: many', 'max_memory'],
    ['0123456789abcdef', 'short', 'peer_key'],
    ['other_domain_price: 0.25', 'other_domain_price: 0.25\nother_price: 1', 'other_price'],
  ])('should name the invalid key when "%s" is changed to "%s"', (from, to, key) => {
    const parsed = parseFleetSettings('file', entry.replace(from, to));

    expect(parsed.ok ? '' : parsed.failure.message).toContain(`file: key ${key}`);
  });

  // Guards against a deployment template whose rendered settings the daemon refuses.
  it.each([
    ['entry', { 'listen.front': '10.0.0.3:80', 'listen.ready': '10.0.0.3:81' }],
    [
      'entry',
      {
        ...{ 'listen.front': '10.0.0.3:80', 'listen.ready': '10.0.0.3:81' },
        ...{
          'bounds.quotaWindow': '5s',
          'bounds.quotaOvershoot': '0.1',
          'bounds.quotaSlack': '20',
          'limits.memoryMb': '202',
        },
      },
    ],
    ['control', { 'listen.control': '10.0.0.3:80', dataDir: '/data' }],
    [
      'control',
      {
        ...{ 'listen.control': '10.0.0.3:80', dataDir: '/data' },
        ...{ 'limits.memoryMb': '202', 'limits.maxFds': '2069' },
      },
    ],
  ])('should accept the rendered template of the role %s', async (role, roleFields) => {
    const fields: Readonly<Record<string, string>> = {
      nodeName: 'n-1',
      zone: 'north',
      region: 'here',
      ip: '10.0.0.3',
      'zones|json': '{"north":"here"}',
      'seeds|json': '["10.0.0.1:80"]',
      'internalPorts.0': '7700',
      'bootstrap|json': 'true',
      'faultTolerance.machines': '1',
      'bounds.retryBudgetRatio': '0.2',
      'bounds.retryBudgetExtra': '62',
      'bounds.retryWindow': '10s',
      'bounds.grace': '6s',
      ...roleFields,
    };
    const template = await readFile(new URL(`../../deploy/${role}.yaml`, import.meta.url), 'utf8');
    const text = template
      .replace(/\{\{#([^}]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, name: string, section: string) =>
        name in fields ? section : '',
      )
      .replace(/\{\{#([^}]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, name: string, section: string) =>
        name in fields ? section : '',
      )
      .replace(/\{\{([^}]+)\}\}/g, (_, name: string) => fields[name] ?? '');

    const parsed = parseFleetSettings('file', text);

    expect(parsed.ok ? parsed.value.role : parsed.failure.message).toBe(role);
    const memoryBytes = 'limits.memoryMb' in roleFields ? 202_000_000 : undefined;
    expect(parsed.ok && parsed.value.maxMemoryBytes).toBe(memoryBytes);
    if (!parsed.ok || parsed.value.role !== 'entry') return;
    const hasQuotas = 'bounds.quotaWindow' in roleFields;
    const { overshoot, slack } = parsed.value.quotas;
    expect({ overshoot, slack }).toEqual(
      hasQuotas ? { overshoot: 0.1, slack: 20 } : { overshoot: 0, slack: 0 },
    );
  });
});
