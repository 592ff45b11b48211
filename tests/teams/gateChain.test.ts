import { describe, expect, it } from 'vitest';

import type CallerRequest from '../../src/application/requests/CallerRequest.ts';
import GateChain from '../../src/application/requests/GateChain.ts';
import type RequestGate from '../../src/application/requests/RequestGate.ts';
import { createRoute, createService } from '../fixtures/createPreset.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const request: CallerRequest = {
  method: 'GET',
  target: '/history/1',
  headers: [],
  body: new Uint8Array(),
  route: createRoute(),
  service: createService(),
  identity: { kind: 'unchecked' },
  receivedAt: 0,
  deadline: 1000,
  requestId: 'r1',
  signal: new AbortController().signal,
};

describe('chain of gates', () => {
  function createChain(refusing: readonly string[]) {
    const ended: string[] = [];
    const gates = ['first', 'second', 'third'].map((name): RequestGate => ({
      name,
      decideAdmission: () =>
        refusing.includes(name)
          ? { kind: 'refused', failure: { kind: 'host_overloaded', message: name } }
          : {
              kind: 'admitted',
              endAdmission: (mayHaveRun) => ended.push(`${name} ${mayHaveRun}`),
            },
    }));
    return { ended, chain: new GateChain({ gates, log: new SilentLog() }) };
  }

  // Guards against requests that use up a limit although a later gate refuses them.
  it('should give back what the gates before the refusing one took', () => {
    const { ended, chain } = createChain(['third']);

    expect(chain.admitRequest(request)).toMatchObject({
      kind: 'refused',
      failure: { message: 'third' },
    });
    expect(ended).toEqual(['first false', 'second false']);
  });

  it('should end all admissions when an admitted request has ended', () => {
    const { ended, chain } = createChain([]);
    const decision = chain.admitRequest(request);

    expect(ended).toEqual([]);
    if (decision.kind === 'admitted') decision.endAdmission(true);
    expect(ended).toEqual(['first true', 'second true', 'third true']);
  });
});
