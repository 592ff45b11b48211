import { afterEach, describe, expect, it } from 'vitest';

import FakeFleet from '../fixtures/FakeFleet.ts';

describe('gossip', () => {
  let fleet: FakeFleet;

  afterEach(() => fleet.stopAll());

  function listServingHosts(): string[] {
    return fleet
      .listHosts()
      .filter(({ upstreams }) => upstreams.listServing('history', fleet.clock.now()).length > 0)
      .map(({ name }) => name);
  }

  function listServingNames(): string[][] {
    return fleet
      .listHosts()
      .map(({ upstreams }) =>
        upstreams.listServing('history', fleet.clock.now()).map(({ upstream }) => upstream),
      );
  }

  // Guards against a drain that is lost when links fail: every host must stop using a drained
  // upstream.
  it('should send a drain to all 46 hosts within 3 s when one host can send to only one of its peers', async () => {
    fleet = new FakeFleet({ controlHosts: 3, entryHosts: 43 });
    await fleet.clock.advanceBy(2000);
    fleet.announce('e1', { sequence: 1 });
    await fleet.clock.advanceBy(1000);
    expect(listServingHosts()).toHaveLength(46);
    // From here, e1 can send to only one of the peers that it chose.
    const chosen = [...fleet.network.exchanges.keys()].filter((key) => key.startsWith('e1>'));
    chosen.slice(1).forEach((direction) => fleet.network.cuts.add(direction));

    fleet.announce('e1', { sequence: 2, state: 'leaving' });
    await fleet.clock.advanceBy(3000);

    expect(listServingHosts()).toEqual([]);
  });

  // Guards against a partitioned host that drops healthy upstreams.
  it('should keep all records on a partitioned host, and drop the expired ones after the partition', async () => {
    fleet = new FakeFleet({ controlHosts: 3, entryHosts: 5 });
    await fleet.clock.advanceBy(2000);
    fleet.announce('e1', { leaseMs: 5000 });
    await fleet.clock.advanceBy(1000);
    fleet.network.cutOff('e2', fleet.hosts.keys());

    await fleet.clock.advanceBy(60_000);
    const { hosts, upstreams, gossip } = fleet.getHost('e2');
    expect(gossip.isPartitioned()).toBe(true);
    expect(upstreams.listServing('history', fleet.clock.now())).toHaveLength(1);
    expect(hosts.listLive(fleet.clock.now())).toHaveLength(8);
    expect(fleet.getHost('e3').upstreams.listServing('history', fleet.clock.now())).toEqual([]);
    expect(fleet.getHost('e3').hosts.listLive(fleet.clock.now())).toHaveLength(7);

    fleet.network.cuts.clear();
    await fleet.clock.advanceBy(8000);
    expect(upstreams.listServing('history', fleet.clock.now())).toEqual([]);
    expect(fleet.getHost('e3').hosts.listLive(fleet.clock.now())).toHaveLength(8);
  });

  // Guards against two halves of a fleet that drop each other's hosts permanently.
  it('should rejoin two halves after a partition longer than the leases', async () => {
    fleet = new FakeFleet({ controlHosts: 1, entryHosts: 17 });
    await fleet.clock.advanceBy(3000);
    const names = [...fleet.hosts.keys()];
    const half = names.filter((_, index) => index % 2 === 0);
    half.forEach((name) =>
      fleet.network.cutOff(
        name,
        names.filter((other) => !half.includes(other)),
      ),
    );
    await fleet.clock.advanceBy(30_000);
    expect(fleet.getHost('e1').hosts.listLive(fleet.clock.now())).toHaveLength(9);

    fleet.network.cuts.clear();
    await fleet.clock.advanceBy(15_000);

    fleet.listHosts().forEach(({ hosts }) => {
      expect(hosts.listLive(fleet.clock.now())).toHaveLength(18);
    });
  });

  // Guards against renewals of a short lease that wait for regular exchanges at each hop.
  it('should keep an upstream with the shortest lease while it renews in time', async () => {
    fleet = new FakeFleet({ controlHosts: 1, entryHosts: 17 });
    await fleet.clock.advanceBy(1500);
    fleet.announce('e1', { leaseMs: 1000 });
    await fleet.clock.advanceBy(100);

    for (let step = 1; step <= 60; step += 1) {
      if (step % 9 === 0) fleet.announce('e1', { sequence: 1 + step, leaseMs: 1000 });
      await fleet.clock.advanceBy(100);
      expect(listServingHosts()).toHaveLength(18);
    }
  });

  // Guards against renewals that every host forwards immediately although the lease has time left.
  it('should renew leases in time through regular exchanges when links are cut one way', async () => {
    fleet = new FakeFleet({ controlHosts: 3, entryHosts: 43 });
    const names = ['a', 'b', 'c', 'd', 'e', 'f'];
    const announceAll = (sequence: number): void =>
      names.forEach((upstream, index) =>
        fleet.announce(`e${index + 1}`, { upstream, sequence, leaseMs: 3000 }),
      );
    await fleet.clock.advanceBy(2000);
    announceAll(1);
    await fleet.clock.advanceBy(1000);
    const chosen = [...fleet.network.exchanges.keys()].filter((key) => key.startsWith('e1>'));
    chosen.slice(1).forEach((direction) => fleet.network.cuts.add(direction));
    const { messages } = fleet.network;
    const seconds = 10;

    for (let step = 0; step < seconds * 10; step += 1) {
      if (step % 10 === 0) announceAll(2 + step / 10);
      await fleet.clock.advanceBy(100);
      expect(listServingNames().map((list) => list.length)).toEqual(Array(46).fill(names.length));
    }

    const perHost = (fleet.network.messages - messages) / seconds / 46;
    process.stdout.write(
      `renewals of 3 s leases: ${perHost.toFixed(1)} messages per host and second\n`,
    );
    // 6 peers, 2 exchanges a second, each of 2 messages or, with records to send, 4.
    expect(perHost).toBeLessThanOrEqual(6 * 2 * 4);
  });

  // Guards against a link whose position moves past changes although their message was lost.
  it.each(['e1>c1', 'c1>e1'])(
    'should exchange the changes made while %s was cut',
    async (direction) => {
      fleet = new FakeFleet({ controlHosts: 1, entryHosts: 1 });
      await fleet.clock.advanceBy(1500);
      // Only c1 can start exchanges, because it no longer answers those of e1.
      fleet.network.handlers.delete('c1');
      fleet.network.cuts.add(direction);
      fleet.announce('c1', { upstream: 'a' });
      fleet.announce('e1', { upstream: 'b' });
      await fleet.clock.advanceBy(2600);
      expect(listServingNames()).toEqual([['a'], ['b']]);

      fleet.network.cuts.clear();
      await fleet.clock.advanceBy(2000);

      expect(listServingNames()).toEqual([
        ['a', 'b'],
        ['a', 'b'],
      ]);
    },
  );

  // Guards against a restarted peer that receives only later changes, for up to 30 s.
  it('should send all records to a restarted peer that cannot start exchanges', async () => {
    fleet = new FakeFleet({ controlHosts: 1, entryHosts: 1 });
    fleet.announce('e1', { leaseMs: 60_000 });
    await fleet.clock.advanceBy(3100);
    fleet.network.handlers.delete('c1');
    fleet.killHost('e1');
    fleet.startHost('e1');

    await fleet.clock.advanceBy(1500);

    expect(listServingNames()).toEqual([['a'], ['a']]);
  });

  // Guards against hosts that count a gracefully stopped host as live until its lease expires.
  it('should withdraw the record of a host that stops gracefully', async () => {
    fleet = new FakeFleet({ controlHosts: 3, entryHosts: 5 });
    // The host stops between two exchanges.
    await fleet.clock.advanceBy(3250);
    const host = fleet.getHost('e4');
    fleet.hosts.delete('e4');
    // Its listener is closed, so peers cannot start exchanges with it.
    fleet.network.handlers.delete('e4');

    const stopped = host.stop(true);
    await fleet.clock.advanceBy(1500);
    await stopped;

    fleet.listHosts().forEach(({ hosts }) => {
      expect(hosts.listLive(fleet.clock.now()).map((live) => live.host)).not.toContain('e4');
    });
  });

  // Guards against peers that keep the record of an earlier process whose clock was ahead.
  it('should replace the record of an earlier process with a higher incarnation', async () => {
    fleet = new FakeFleet({ controlHosts: 1, entryHosts: 2 });
    await fleet.clock.advanceBy(1500);
    const [hostRecord] = fleet.getHost('c1').hosts.listRecords(fleet.clock.now());
    if (!hostRecord) throw new Error('c1 has no host record');
    const earlier = { ...hostRecord, host: 'e1', incarnation: hostRecord.incarnation + 60_000 };
    fleet.getHost('c1').hosts.mergeRecords([earlier], fleet.clock.now());

    await fleet.clock.advanceBy(3000);

    const record = fleet.getHost('c1').hosts.getRecord('e1');
    expect(record?.incarnation).toBe(earlier.incarnation + 1);
    expect(record?.peerAddress).toBe('127.0.2.1:7000');
  });
});
