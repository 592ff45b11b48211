import FindMyWayRouteTable from '../../src/adapters/http/FindMyWayRouteTable.ts';
import { gossipMessageSchema } from '../../src/adapters/trpc/gossipMessages.ts';
import { checkPresetState } from '../../src/adapters/trpc/presetMessages.ts';
import type PresetState from '../../src/domain/presets/PresetState.ts';
import FakeFleet from '../../tests/fixtures/FakeFleet.ts';
import createPreset, { createRoute, createService } from '../../tests/fixtures/createPreset.ts';
import { measureHeapMb, measureProcessorMs, printSizes } from './measure.ts';

const simulatedSeconds = 4;
const renewalSeconds = 3;

/** Creates a preset with 15.6 routes for each service, as at the future size. */
export function createLargePreset(routes: number, services = Math.round(routes / 15.6)) {
  const names = Array.from({ length: services }, (_, index) => `service-${index}`);
  return createPreset({
    fleet: { entryHosts: 1100 },
    services: Object.fromEntries(
      names.map((name) => [name, createService({ upstreams: 47, floor: 30 })]),
    ),
    routes: Array.from({ length: routes }, (_, index) =>
      createRoute({
        path: `/teams/area-${index % 997}/resource-${index}/:id`,
        service: names[index % services],
      }),
    ),
  });
}

async function measureGossipAtSize(entryHosts: number, upstreams: number) {
  const fleet = new FakeFleet({ controlHosts: 3, entryHosts });
  // The fake network checks no message. The peers listener and the link check each one, which is
  // part of the measured cost.
  fleet.network.handlers.forEach((handlers, host) =>
    fleet.network.handlers.set(host, {
      ...handlers,
      handleExchange: (message) =>
        gossipMessageSchema.parse(handlers.handleExchange(gossipMessageSchema.parse(message))),
    }),
  );
  const announce = (second: number, periodSeconds: number): void =>
    Array.from({ length: upstreams }, (_, index) => index)
      .filter((index) => index % periodSeconds === second % periodSeconds)
      .forEach((index) =>
        fleet.announce(`e${1 + (index % entryHosts)}`, {
          service: `service-${index % 320}`,
          upstream: `upstream-${index}`,
          sequence: second + 1,
          leaseMs: 10_000,
        }),
      );
  await fleet.clock.advanceBy(1000);
  announce(0, 1);
  await fleet.clock.advanceBy(2000);
  const { messages, bytes } = fleet.network;
  const before = process.cpuUsage();
  for (let second = 1; second <= simulatedSeconds; second += 1) {
    announce(second, renewalSeconds);
    await fleet.clock.advanceBy(1000);
  }
  const { user, system } = process.cpuUsage(before);
  const hostSeconds = fleet.hosts.size * simulatedSeconds;
  const values = {
    'messages per host and s': (fleet.network.messages - messages) / hostSeconds,
    'KB sent per host and s': (fleet.network.bytes - bytes) / hostSeconds / 1000,
    'processor ms per host and s': (user + system) / 1000 / hostSeconds,
  };
  await fleet.stopAll();
  return values;
}

async function measurePresetAtSize(routes: number) {
  const state = { groupId: 'group', revision: 1, name: 'peak', preset: createLargePreset(routes) };
  const text = JSON.stringify(state);
  const readState = () => checkPresetState(JSON.parse(text)) as PresetState;
  const buildTable = () => new FindMyWayRouteTable(state.preset.routes);
  return {
    'state KB': Buffer.byteLength(text) / 1000,
    'decode and check, ms': await measureProcessorMs(12, readState),
    'build the route table, ms': await measureProcessorMs(12, buildTable),
    'heap of state and table, MB': measureHeapMb(() => {
      const decodedState = readState();
      return [decodedState, new FindMyWayRouteTable(decodedState.preset.routes)];
    }),
  };
}

/** Measures gossip of real hosts over a fake network, by number of hosts and of upstreams. */
export async function measureGossip(): Promise<void> {
  await printSizes({
    title: 'gossip, 48 upstreams renewed every 3 s',
    sizeName: 'hosts',
    sizes: [12, 24, 48, 96],
    futureSize: 1100,
    measure: (hosts) => measureGossipAtSize(hosts - 3, 48),
  });
  await printSizes({
    title: 'gossip, 12 hosts, each upstream renewed every 3 s',
    sizeName: 'upstreams',
    sizes: [100, 400, 1600],
    futureSize: 15_000,
    measure: (upstreams) => measureGossipAtSize(9, upstreams),
  });
}

/** Measures the state of the active preset on an entry host, by number of routes. */
export function measurePreset(): Promise<void> {
  return printSizes({
    title: 'preset state on an entry host, 15.6 routes for each service',
    sizeName: 'routes',
    sizes: [1250, 2500, 5000],
    futureSize: 5000,
    measure: measurePresetAtSize,
  });
}
