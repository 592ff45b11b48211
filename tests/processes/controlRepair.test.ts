import { rm } from 'node:fs/promises';

import { request } from 'undici';
import { describe, expect, it } from 'vitest';

import { applyPreset, createExamplePreset } from '../../examples/fleet/startExampleFleet.ts';
import useExampleFleet from './useExampleFleet.ts';

const sizes = { controlHosts: 3, entryHosts: 1, upstreams: 1, latencyMs: 10 };
const text = createExamplePreset(sizes, 5000);

describe('repair of a control host, in separate processes', () => {
  const getStartedFleet = useExampleFleet(sizes);

  async function hasVote(host: string): Promise<boolean> {
    const controlHost = getStartedFleet().fleet.hosts.controlHosts.find(
      (control) => control.host === host,
    );
    const answer = await request(`http://${controlHost?.platform}/metrics`);
    return /^pistachiohoist_control_voting 1$/m.test(await answer.body.text());
  }

  // Guards against losing an accepted change when a second disk is lost right after the repair of
  // the first one, and against a wiped host that votes with an empty log.
  it('should keep every accepted change when a second host is lost after the repair', async () => {
    const { hosts } = getStartedFleet().fleet;
    // The killed host may be the leader, so each change is resent with its id until it is accepted.
    const putPreset = (name: string) => applyPreset(hosts, { name, text, basedOn: 0 });
    await putPreset('before');
    await hosts.getProcess('control-3').kill();
    await rm(hosts.getPath('control-3.data'), { recursive: true });
    await putPreset('while-wiped');
    hosts.startHost('control-3');
    await hosts.waitUntil('control-3 is a voter again', () =>
      hasVote('control-3').catch(() => false),
    );
    await hosts.getProcess('control-1').kill();
    await rm(hosts.getPath('control-1.data'), { recursive: true });
    await putPreset('after');

    const { output } = await hosts.runTool(['preset', 'list']);

    ['before', 'while-wiped', 'after', 'ordinary'].forEach((name) =>
      expect(output).toContain(name),
    );
  }, 90_000);
});
