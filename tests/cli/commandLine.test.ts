import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import SystemClock from '../../src/adapters/system/SystemClock.ts';
import SystemRandomSource from '../../src/adapters/system/SystemRandomSource.ts';
import TrpcOperatorServer from '../../src/adapters/trpc/TrpcOperatorServer.ts';
import createOperatorRouter from '../../src/adapters/trpc/createOperatorRouter.ts';
import formatPreset from '../../src/adapters/yaml/formatPreset.ts';
import PresetStatusReader from '../../src/application/operators/PresetStatusReader.ts';
import type { TeamReport } from '../../src/application/operators/TeamListing.ts';
import PresetService from '../../src/application/presets/PresetService.ts';
import formatTable from '../../src/cli/formatTable.ts';
import runCommandLine from '../../src/cli/runCommandLine.ts';
import type HostRecord from '../../src/domain/membership/HostRecord.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeControlGroup from '../fixtures/FakeControlGroup.ts';
import SilentLog from '../fixtures/SilentLog.ts';
import createPreset, { createService } from '../fixtures/createPreset.ts';

const hostNames = ['control-1', 'control-2'];
const operatorKey = 'an operator key for tests';

function createHost(host: string, revision: number): HostRecord {
  return {
    host,
    role: host.startsWith('entry') ? 'entry' : 'control',
    peerAddress: '127.0.0.1:1',
    failureDomain: 'north',
    incarnation: 1,
    sequence: 1,
    state: 'ready',
    revision,
    presetName: revision > 0 ? 'ordinary' : '',
    leaseDeadline: 0,
  };
}

describe('pistachiohoist', () => {
  let group: FakeControlGroup;
  let servers: TrpcOperatorServer[];
  let missingHosts: string[] = [];
  let teamReport: TeamReport;
  const writtenFiles: Record<string, string> = {};
  let addresses: string[];
  const files: Record<string, string> = {
    'good.yaml': formatPreset(createPreset()),
    'floor.yaml': formatPreset(
      createPreset({ services: { history: createService({ floor: 8 }) } }),
    ),
    'text.yaml': 'routes: 7',
    'unused.yaml': formatPreset(
      createPreset({ services: { history: createService(), kilns: createService() } }),
    ),
  };

  beforeEach(async () => {
    const clock = new FakeClock();
    group = new FakeControlGroup({ clock, hosts: hostNames, commitMs: 0 });
    servers = hostNames.map((host) => {
      const log = group.createLog(host);
      const presets = new PresetService({ clock, log, presets: group.state.presets });
      const hosts = { listHosts: () => [createHost('entry-2', 1), createHost('entry-1', 2)] };
      const router = createOperatorRouter({
        clock,
        presets,
        status: new PresetStatusReader({ source: presets, hosts }),
        upstreams: { listUpstreams: () => [] },
        services: { listServices: () => [] },
        teams: { listTeams: async () => teamReport },
        burn: {
          createReport: async () => ({ createdAt: 0, services: [], hosts: [], missingHosts }),
        },
      });
      return new TrpcOperatorServer({
        ...{ router, operatorKey, log: new SilentLog() },
        clock: new SystemClock(),
      });
    });
    await Promise.all(servers.map((server) => server.openListener({ ip: '127.0.0.1', port: 0 })));
    addresses = servers.map(({ address }) => `127.0.0.1:${address.port}`);
  });

  afterEach(async () => {
    await Promise.all(servers.map((server) => server.closeListener()));
  });

  async function run(
    parameters: readonly string[],
    environment: Record<string, string> = { PISTACHIOHOIST_KEY: operatorKey, USER: 'ana' },
  ) {
    let output = '';
    let errors = '';
    const code = await runCommandLine({
      parameters,
      environment,
      clock: new SystemClock(),
      random: new SystemRandomSource(),
      readFile: async (path) => {
        const text = files[path];
        if (text === undefined) throw new Error('no such file');
        return text;
      },
      writeFile: async (path, text) => void (writtenFiles[path] = text),
      writeOutput: (text) => void (output += text),
      writeError: (text) => void (errors += text),
    });
    return { code, output, errors };
  }

  const runAt = (parameters: string, server = addresses[0]) =>
    run([...parameters.split(' '), '--server', server ?? '']);

  it('should list teams with their limits and results', async () => {
    const counts = { admitted: 7, refused: { quota_exceeded: 2, team_key_unknown: 1 } };
    const depots = { name: 'depots', priority: 0, requestsPerSecond: 2.5, burst: 4, keys: 2 };
    teamReport = {
      needsKeys: true,
      teams: [{ ...depots, ...counts }],
      withoutTeam: { admitted: 0, refused: { team_key_unknown: 3 } },
      hosts: ['entry-1'],
      missingHosts: ['entry-2'],
    };
    const { output, errors } = await runAt('team list');

    expect(output.split('\n')[1]).toMatch(
      /^depots +0 +2\.5 +4 +2 +7 +3 +quota_exceeded=2,team_key_unknown=1$/,
    );
    expect(errors).toContain('without a team: admitted 0, refused team_key_unknown=3\n');
    expect(errors).toContain('missing: entry-2\n');
    expect(JSON.parse((await runAt('team list --json')).output)).toEqual(teamReport);
  });

  it('should put, use, show and list a preset and report the lagging hosts', async () => {
    expect(await runAt('preset put ordinary good.yaml --based-on 0')).toMatchObject({ code: 0 });
    expect((await runAt('preset use ordinary --based-on 0')).code).toBe(0);

    const shown = await runAt('preset show ordinary');
    expect(shown.output).toBe(files['good.yaml']);
    const listed = await runAt('preset list');
    expect(listed.output).toBe(
      'NAME      REVISION  OPERATOR  ACTIVE\nordinary         1  ana       yes\n',
    );
    expect(listed.errors).toBe('selection: revision 2\n');
    const status = await runAt('preset status');
    expect(status.output.split('\n')[2]).toMatch(
      /^entry-2 +entry +north +ready +ordinary +1 +yes$/,
    );
    expect(status.errors).toContain('lagging: entry-2\n');
  });

  it('should check a preset file without a server and a key', async () => {
    const check = (file: string) => run(['preset', 'check', file, '--json'], {});
    const findingsOf = (output: string) => JSON.parse(output).findings;

    expect((await check('good.yaml')).code).toBe(0);
    const unused = await check('unused.yaml');
    expect(unused).toMatchObject({ code: 1, errors: '' });
    expect(findingsOf(unused.output)).toMatchObject([
      { severity: 'warning', code: 'service_unused', key: 'services.kilns' },
    ]);
    const text = await check('text.yaml');
    expect(text.code).toBe(1);
    expect(findingsOf(text.output)).toMatchObject([{ code: 'document_invalid', key: 'fleet' }]);
    expect((await run(['preset', 'check', 'floor.yaml'], {})).output).toMatch(
      /^SEVERITY .*\nerror +floor_above_upstreams +services\.history\.floor +the floor 8/,
    );
  });

  // Guards against notes about a preset that is stored, but not active.
  it('should compare a checked preset with the active one', async () => {
    expect((await runAt('preset check good.yaml')).errors).toContain('no preset is active\n');
    await runAt('preset put other unused.yaml --based-on 0');
    await runAt('preset put ordinary good.yaml --based-on 0');
    await runAt('preset use ordinary --based-on 0');

    const changed = await runAt('preset check unused.yaml');
    expect(changed.output).toMatch(
      /\nnote +service_added +services\.kilns +service "kilns" is new/,
    );
    expect((await runAt('preset check good.yaml')).output).toBe('SEVERITY  CODE  KEY  MESSAGE\n');
    const unreachable = await runAt('preset check good.yaml', '127.0.0.1:1');
    expect(unreachable.code).toBe(3);
  });

  // Guards against a resend that fails although the change was accepted and only its answer was
  // lost: with the printed id, the resend counts as the same change.
  it('should print the generated change id and accept a resend with that id', async () => {
    const command = 'preset put ordinary good.yaml --based-on 0';
    const first = await runAt(`${command} --json`);
    const changeId = /change id: (\S+)/.exec(first.errors)?.[1] ?? '';
    const resent = await runAt(`${command} --json --change-id ${changeId}`);

    expect(JSON.parse(first.output)).toEqual({ name: 'ordinary', revision: 1, changeId });
    expect(resent.output).toBe(first.output);
    const conflicting = await runAt(`${command} --json`);
    expect(conflicting.code).toBe(1);
    expect(JSON.parse(conflicting.errors.split('\n')[1] ?? '').error.winner).toEqual({
      revision: 1,
      operator: 'ana',
      changeId,
    });
  });

  it('should use the next given server when one answers not_leader', async () => {
    const followerOption = ['--server', addresses[1] ?? ''];
    expect((await run(['preset', 'list', ...followerOption])).code).toBe(3);

    const both = await run(['preset', 'list', ...followerOption, '--server', addresses[0] ?? '']);
    expect(both.code).toBe(0);
  });

  // Guards against changes that fail because the leader stops at that moment.
  it.each([
    ['is unknown', '', []],
    ['is down', 'control-1', ['control-1']],
  ])('should ask again with the same change id while the leader %s', async (_, leader, down) => {
    group.leader = leader;
    const serversDown = servers.filter((_server, index) => down.includes(hostNames[index] ?? ''));
    await Promise.all(serversDown.map((server) => server.closeListener()));
    const list = addresses.flatMap((address) => ['--server', address]);
    const put = run(['preset', 'put', 'ordinary', 'good.yaml', '--based-on', '0', ...list]);
    await new SystemClock().sleepUntil(Date.now() + 400);
    group.leader = 'control-2';

    const { code, errors } = await put;
    expect(code).toBe(0);
    expect(errors.match(/change id:/g)).toHaveLength(1);
    expect(group.commits).toBe(1);
  });

  it('should exit with 3 when no server is reachable', async () => {
    await Promise.all(servers.map((server) => server.closeListener()));

    const result = await runAt('preset list');
    expect(result.code).toBe(3);
    expect(result.errors).toContain(`preset.list at ${addresses[0]}: `);
  });

  // Guards against unauthorized changes by anyone who can reach the listener.
  it('should refuse an invalid operator key and change nothing', async () => {
    const command = ['preset', 'put', 'x', 'good.yaml', '--based-on', '0', '--server'];
    const environment = { PISTACHIOHOIST_KEY: 'another operator key', USER: 'ana' };
    const result = await run([...command, addresses[0] ?? ''], environment);

    expect(result).toMatchObject({ code: 1, output: '' });
    expect(result.errors).toContain('unauthorized');
    expect(group.commits).toBe(0);
  });

  it.each([
    ['preset', 'command "preset": expected one of preset list'],
    ['preset list extra', '1 arguments; expected none'],
    ['preset list --based-on 1', 'option --based-on is not allowed here'],
    ['preset list --colour', "Unknown option '--colour'"],
    ['preset use ordinary', '--based-on: value missing: expected a revision'],
    ['preset put ordinary none.yaml --based-on 0', 'none.yaml: cannot be read: no such file'],
    ['preset check none.yaml', 'none.yaml: cannot be read: no such file'],
    ['preset put ordinary text.yaml --based-on 0', 'text.yaml: key fleet: value missing'],
    ['preset put ordinary floor.yaml --based-on 0', 'key services.history.floor: value 8'],
    ['preset list --key-file none.key', 'none.key: cannot be read'],
    ['preset list --operator a\u0007b', '--operator: value "a\\u0007b": expected a name'],
    ['preset list --server control-1:80', '--server: value "control-1:80": expected an IP'],
  ])('should exit with 2 and describe the usage error for "%s"', async (parameters, message) => {
    const result = await runAt(parameters);

    expect(result).toMatchObject({ code: 2, output: '' });
    expect(result.errors).toContain(message);
    expect(group.commits).toBe(0);
  });

  it.each([
    ...['list', 'show', 'check', 'put', 'use', 'status'].map((verb) => `preset ${verb}`),
    ...['upstream list', 'service list', 'report burn'],
  ])('should print help for "%s" without a server or a key', async (name) => {
    const result = await run([...name.split(' '), '--help'], {});

    expect(result.code).toBe(0);
    expect(result.output).toContain(`pistachiohoist ${name}`);
  });

  it.each(['upstream list', 'service list'])(
    'should print an empty list for "%s"',
    async (name) => {
      expect(await runAt(`${name} --json`)).toEqual({ code: 0, output: '[]\n', errors: '' });
    },
  );

  // Guards against a report that hides hosts whose requests it does not count.
  it('should list the hosts that are missing from the burn report', async () => {
    missingHosts = ['entry-9'];

    const result = await runAt('report burn');

    expect(result.errors).toContain('missing: entry-9');
  });

  it('should write the burn report as one HTML file that loads no other file', async () => {
    await runAt('report burn --html burn.html');

    expect(writtenFiles['burn.html']).toContain('<svg');
    expect(writtenFiles['burn.html']).not.toMatch(/(src|href)=/);
  });

  // Guards against names that move the cursor or add lines to a table that a script reads.
  it('should replace control characters in tables', () => {
    const rows = [
      ['a\u001b[2J\nb', 1],
      ['', 20],
    ] as const;

    expect(formatTable(['NAME', 'N'], rows)).toBe('NAME      N\na?[2J?b   1\n-        20');
  });
});
