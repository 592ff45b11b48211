import { Agent, request } from 'undici';
import { afterAll, describe, expect, it } from 'vitest';

import useExampleFleet from './useExampleFleet.ts';

describe('stop of separate processes', () => {
  const getStartedFleet = useExampleFleet({
    controlHosts: 3,
    entryHosts: 2,
    upstreams: 3,
    latencyMs: 100,
  });
  const agent = new Agent({ connections: 16, pipelining: 1 });

  afterAll(() => agent.destroy());

  // Guards against a listener that closes connections with requests in flight: a load balancer
  // sends requests to the host until a readiness probe fails, and none of them may fail.
  it('should answer every request to a stopping entry host before it exits with 0', async () => {
    const { hosts } = getStartedFleet().fleet;
    const [entry] = hosts.entryHosts;
    if (!entry) throw new Error('the fleet has no entry host');
    const failures: string[] = [];
    let answered = 0;
    let isInRotation = true;
    const sendRequests = async (): Promise<void> => {
      while (isInRotation) {
        try {
          const answer = await request(`http://${entry.callers}/history/f-1`, {
            dispatcher: agent,
          });
          await answer.body.dump();
          if (answer.statusCode === 200) answered += 1;
          else failures.push(String(answer.statusCode));
        } catch (error) {
          const { code, message } = error as NodeJS.ErrnoException;
          failures.push(code ?? message);
        }
      }
    };
    const probeReadiness = async (): Promise<void> => {
      while (isInRotation) {
        isInRotation = await hosts.isReady(entry);
        await new Promise((resolve) => {
          setTimeout(resolve, 20);
        });
      }
    };
    const tasks = [probeReadiness(), ...Array.from({ length: 16 }, sendRequests)];
    // Every connection has been used again, so each may carry a request when the host stops.
    await hosts.waitUntil('more answers than connections', async () => answered > 2 * 16);
    const answeredBefore = answered;

    const code = await hosts.getProcess('entry-1').stop();
    await Promise.all(tasks);

    expect(failures).toEqual([]);
    expect(answered).toBeGreaterThan(answeredBefore);
    expect(code).toBe(0);
    expect(hosts.getProcess('entry-1').output).toContain('lifecycle: every request was answered');
  }, 60_000);

  // Guards against a leader that loses changes that it accepts while it stops.
  it('should keep every accepted change when each control host stops in turn', async () => {
    const { hosts } = getStartedFleet().fleet;
    const accepted: string[] = [];
    const file = hosts.getPath('ordinary.preset.yaml');
    for (let index = 1; index <= 3; index += 1) {
      const name = `stop-${index}`;
      const put = hosts.runTool(['preset', 'put', name, file, '--based-on', '0']);
      const code = await hosts.getProcess(`control-${index}`).stop();
      hosts.startHost(`control-${index}`);
      expect(code).toBe(0);
      if ((await put).code === 0) accepted.push(name);
    }

    await hosts.waitUntil('the control group has a leader', async () => {
      const list = await hosts.runTool(['preset', 'list']);
      return list.code === 0;
    });
    const { output } = await hosts.runTool(['preset', 'list']);

    expect(accepted.length).toBeGreaterThan(0);
    expect(accepted.filter((name) => !output.includes(name))).toEqual([]);
  }, 90_000);
});
