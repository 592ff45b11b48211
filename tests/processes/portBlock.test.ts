import { afterEach, describe, expect, it } from 'vitest';

import PortBlock from '../../examples/fleet/PortBlock.ts';

const firstEphemeralPort = 32_768;

describe('ports of a fleet', () => {
  const blocks: PortBlock[] = [];

  async function takePorts(): Promise<readonly number[]> {
    const block = await PortBlock.openBlock();
    blocks.push(block);
    return [await block.takePort(), await block.takePort()];
  }

  afterEach(async () => {
    await Promise.all(blocks.splice(0).map((block) => block.close()));
  });

  // Guards against a host that can't start, or is mistaken for a host of another fleet, because two
  // fleets were assigned the same port while nothing listened on it.
  it('should assign different ports to two fleets', async () => {
    const ports = [...(await takePorts()), ...(await takePorts())];

    expect(new Set(ports).size).toBe(4);
  });

  // Guards against an outgoing connection of another process that uses the port of a killed host.
  it('should assign only ports below the ephemeral port range', async () => {
    const ports = await takePorts();

    expect(ports.filter((port) => port >= firstEphemeralPort)).toEqual([]);
  });
});
