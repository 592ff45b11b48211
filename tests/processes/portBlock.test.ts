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

  // Guards against a host that can't start, or is mistaken for a host of another fleet, because the
  // same port was given to both fleets while nothing listened on it.
  it('should give two fleets different ports', async () => {
    const ports = [...(await takePorts()), ...(await takePorts())];

    expect(new Set(ports).size).toBe(4);
  });

  // Guards against an outgoing connection of another process that takes the port of a killed host.
  it('should give only ports below the ephemeral port range', async () => {
    const ports = await takePorts();

    expect(ports.filter((port) => port >= firstEphemeralPort)).toEqual([]);
  });
});
