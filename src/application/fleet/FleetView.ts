import type { ControlHostInfo, EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type RegisteredUpstream from '../../domain/membership/RegisteredUpstream.ts';
import type UpstreamRecord from '../../domain/membership/UpstreamRecord.ts';
import type Preset from '../../domain/presets/Preset.ts';
import type PresetState from '../../domain/presets/PresetState.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';
import type Clock from '../../ports/Clock.ts';
import type { FeedAnswer, FeedHosts } from '../../ports/FleetLink.ts';
import type Log from '../../ports/Log.ts';
import type PresetCodec from '../../ports/PresetCodec.ts';
import type RouteTable from '../../ports/RouteTable.ts';
import type ActivePreset from '../requests/ActivePreset.ts';
import PrefixRouteTable from '../requests/PrefixRouteTable.ts';
import type UpstreamPool from '../requests/UpstreamPool.ts';
import Notifier from '../tasks/Notifier.ts';
import FeedFreshness from './FeedFreshness.ts';
import ServicePool from './ServicePool.ts';

// A peer that is missing from the newest list is kept this long, because after a restart of a
// control host, it takes a few seconds until all entry hosts have sent it a request again.
const unlistedPeerMs = 10_000;

/** Options of the view. */
export interface FleetViewOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly codec: PresetCodec;
  /** Called with each preset that becomes active. */
  readonly onPreset: (preset: Preset) => void;
}

/** An entry host's view of the fleet: the active preset, upstreams and hosts. */
export default class FleetView implements ActivePreset, UpstreamPool {
  state: PresetState | undefined;

  routeTable: RouteTable | undefined;

  /** Group of the newest command that the view includes; `position` is its index. */
  groupId = '';

  position = 0;

  hostsVersion = '';

  controlHosts: readonly ControlHostInfo[] = [];

  /**
   * Most entry hosts that this failure domain has had. A host that is missing from the list may
   * still serve callers, so the number never falls.
   */
  domainSize = 1;

  readonly freshness: FeedFreshness;

  private readonly options: FleetViewOptions;

  /** Upstreams that are serving or leaving, by name. */
  private readonly upstreams = new Map<string, UpstreamRecord>();

  /** Entry hosts of this host's failure domain, including this one, and when each expires. */
  private readonly peers = new Map<string, { info: EntryHostInfo; until: number }>();

  private readonly pools = new Map<string, ServicePool>();

  private readonly notifier: Notifier;

  constructor(options: FleetViewOptions) {
    this.options = options;
    this.freshness = new FeedFreshness(options.clock);
    this.notifier = new Notifier(options.clock);
  }

  /** Entry hosts of this host's failure domain, including this one. */
  get entryHosts(): readonly EntryHostInfo[] {
    const now = this.options.clock.now();
    return [...this.peers.values()].flatMap(({ info, until }) => (until > now ? [info] : []));
  }

  /** Whether requests can be served. */
  get isReady(): boolean {
    return this.routeTable !== undefined;
  }

  get mayBeOutdated(): boolean {
    return this.freshness.mayBeOutdated;
  }

  /** Resolves when requests can be served, or at the deadline. */
  async waitReady(deadline: number): Promise<void> {
    const { clock } = this.options;
    const mustWait = (): boolean => !this.isReady || this.mayBeOutdated;
    while (mustWait() && clock.now() < deadline) await this.notifier.waitUntil(deadline);
  }

  listUsable(service: string): readonly UsableUpstream[] {
    return this.pools.get(service)?.listUsable(this.options.clock.now()) ?? [];
  }

  isUsable({ upstream, incarnation }: UpstreamRecord): boolean {
    const current = this.upstreams.get(upstream);
    return current?.state === 'serving' && current.incarnation === incarnation;
  }

  /** Finds an upstream that is serving or leaving. */
  findUpstream(upstream: string): UpstreamRecord | undefined {
    return this.upstreams.get(upstream);
  }

  /**
   * Applies the answer of a control host. Apart from the list of hosts, data that is older than the
   * view or comes from another control group is ignored.
   */
  applyAnswer(answer: FeedAnswer): void {
    const isOtherGroup = this.groupId !== '' && this.groupId !== answer.groupId;
    this.applyHosts(answer.hosts);
    if (isOtherGroup || answer.groupId === '') return;
    this.groupId = answer.groupId;
    if (answer.preset) this.applyPreset(answer.preset);
    if (answer.position < this.position) return;
    if (answer.position > this.position) this.applyUpstreams(answer.upstreams);
    this.position = answer.position;
  }

  /** Records that a control host that is current answered a request that was sent at `sentAt`. */
  recordAnswer(sentAt: number): void {
    this.freshness.recordAnswer(sentAt);
    this.notifier.notify();
  }

  /** Applies only the list of hosts, for an answer of a control host that is not current. */
  applyHosts(hosts: FeedHosts | undefined): void {
    if (!hosts) return;
    this.hostsVersion = hosts.version;
    this.controlHosts = hosts.controlHosts;
    const now = this.options.clock.now();
    [...this.peers].forEach(([address, peer]) => {
      if (peer.until <= now) this.peers.delete(address);
      else this.peers.set(address, { ...peer, until: Math.min(peer.until, now + unlistedPeerMs) });
    });
    hosts.entryHosts.forEach((info) => this.peers.set(info.address, { info, until: Infinity }));
    this.recordDomainSize(this.entryHosts.length);
  }

  /** Records how many entry hosts this failure domain has had. */
  recordDomainSize(hosts: number): void {
    this.domainSize = Math.max(this.domainSize, hosts);
  }

  private applyPreset({ number, document }: { number: number; document: string }): void {
    const { log, codec, onPreset } = this.options;
    if (number <= (this.state?.revision ?? -Infinity)) return;
    const decoded = codec.decodePreset(document);
    if (!decoded.ok) {
      log.error('presets: a committed preset cannot be decoded', {
        number,
        error: decoded.failure.message,
      });
      return;
    }
    const { preset } = decoded.value;
    this.state = { groupId: this.groupId, revision: number, name: 'numbered', preset };
    this.routeTable = new PrefixRouteTable(preset.routes);
    log.info('presets: a preset became active', { number, routes: preset.routes.length });
    this.notifier.notify();
    onPreset(preset);
  }

  private applyUpstreams({ isWhole, records }: FeedAnswer['upstreams']): void {
    if (isWhole) [this.upstreams, this.pools].forEach((known) => known.clear());
    records.forEach((record) => this.applyUpstream(record));
  }

  private applyUpstream(registered: RegisteredUpstream): void {
    const { log, clock } = this.options;
    const { upstream, state, bornAt, service, address, failureDomain } = registered;
    log.info('membership: an upstream changed', { upstream, service, address, state, bornAt });
    const known = this.upstreams.get(upstream);
    if (known) this.pools.get(known.service)?.removeUpstream(upstream);
    this.upstreams.delete(upstream);
    if (state === 'gone' || state === 'silent') return;
    const record: UpstreamRecord = {
      service,
      upstream,
      address,
      failureDomain,
      slots: registered.slots,
      incarnation: bornAt,
      sequence: registered.sequence,
      state,
      servingSince: 0,
      // No lease is needed, because the control group reports when the upstream has left or is
      // silent.
      leaseDeadline: Infinity,
    };
    this.upstreams.set(upstream, record);
    if (state !== 'serving') return;
    const pool = this.pools.get(service) ?? new ServicePool();
    pool.setUpstream({ record, warmAt: clock.now() + registered.warmMs });
    this.pools.set(service, pool);
  }
}
