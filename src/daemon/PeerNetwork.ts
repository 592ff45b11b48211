import type { GaugeSource } from '../adapters/metrics/PrometheusMetrics.ts';
import TrpcGossipLink from '../adapters/trpc/TrpcGossipLink.ts';
import TrpcPeerDialer from '../adapters/trpc/TrpcPeerDialer.ts';
import { checkHostRecord, checkUpstreamRecord } from '../adapters/trpc/gossipMessages.ts';
import Gossip from '../application/membership/Gossip.ts';
import HostHeartbeat from '../application/membership/HostHeartbeat.ts';
import type { HostStatus } from '../application/membership/HostHeartbeat.ts';
import type GossipTopic from '../domain/membership/GossipTopic.ts';
import HostDirectory from '../domain/membership/HostDirectory.ts';
import type HostRecord from '../domain/membership/HostRecord.ts';
import UpstreamDirectory from '../domain/membership/UpstreamDirectory.ts';
import type { PeerAddress } from '../domain/membership/choosePeers.ts';
import type DaemonSettings from '../domain/settings/DaemonSettings.ts';
import type Clock from '../ports/Clock.ts';
import type Log from '../ports/Log.ts';
import formatAddress from './formatAddress.ts';
import type TaskGroup from './TaskGroup.ts';

/** Options of the membership of a host of either role. */
export interface PeerNetworkOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly readStatus: () => HostStatus;
  /** Gossip topics in addition to the directories of hosts and upstreams. */
  readonly topics: readonly GossipTopic[];
}

/** Membership of a host: its directories, the gossip that updates them and the peer connections. */
export default class PeerNetwork {
  readonly hosts = new HostDirectory({ checkRecord: checkHostRecord });

  readonly upstreams = new UpstreamDirectory({ checkRecord: checkUpstreamRecord });

  readonly dialer: TrpcPeerDialer;

  readonly gossip: Gossip;

  readonly heartbeat: HostHeartbeat;

  private readonly options: PeerNetworkOptions;

  constructor(options: PeerNetworkOptions) {
    const { settings, clock, log, readStatus } = options;
    this.options = options;
    const { host, role, failureDomain, peerKey, control, listen } = settings;
    const exchangeNow = (): void => this.gossip.exchangeNow();
    this.dialer = new TrpcPeerDialer({ peerKey, ownHost: host, clock, log });
    const { hosts, upstreams } = this;
    this.gossip = new Gossip({
      clock,
      log,
      ownHost: host,
      seeds: control,
      hosts,
      topics: [upstreams, hosts, ...options.topics],
      expiringRecords: [upstreams, hosts],
      dialer: this.dialer.createDialer((shared) => new TrpcGossipLink(shared)),
    });
    const peerAddress = formatAddress(listen.peers);
    const ownHost = { host, role, failureDomain, peerAddress };
    this.heartbeat = new HostHeartbeat({
      clock,
      hosts,
      host: ownHost,
      readStatus,
      exchangeNow,
    });
  }

  startTasks(tasks: TaskGroup): void {
    tasks.startTask('gossip', (signal) => this.gossip.run(signal));
    tasks.startTask('heartbeat', (signal) => this.heartbeat.run(signal));
  }

  /** Finds the address of a host's peers listener; undefined when the host isn't live. */
  findPeer(host: string): PeerAddress | undefined {
    const record = this.listLive().find((live) => live.host === host);
    return record && { host, address: record.peerAddress };
  }

  listLive(): readonly HostRecord[] {
    return this.hosts.listLive(this.options.clock.now());
  }

  listGauges(): readonly GaugeSource[] {
    const { clock } = this.options;
    return [
      {
        name: 'live_hosts',
        help: 'Hosts with a valid lease that are not stopping.',
        readValue: () => this.listLive().length,
      },
      {
        name: 'upstreams',
        help: 'Upstreams with a valid lease.',
        readValue: () => this.upstreams.listRecords(clock.now()).length,
      },
      {
        name: 'partitioned',
        help: '1 when this host has had no contact with a peer for 3 s.',
        readValue: () => (this.gossip.isPartitioned() ? 1 : 0),
      },
    ];
  }
}
