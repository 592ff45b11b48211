import pruneMap from '../../domain/collections/pruneMap.ts';
import {
  emptyDomainMessage,
  emptyUpstreamActivity,
  hasReports,
} from '../../domain/fleet/DomainMessage.ts';
import type { DomainMessage, UpstreamActivity } from '../../domain/fleet/DomainMessage.ts';
import type Clock from '../../ports/Clock.ts';
import type DatagramSocket from '../../ports/DatagramSocket.ts';
import QuotaSums from '../teams/QuotaSums.ts';
import PeerActivities from './PeerActivities.ts';

const minDigestMs = 100;
// With more members, digests are fewer, so that a hub sends about 300 datagrams per second at most.
const digestMsPerMember = 3;
// All open requests are sent again at this interval, in case a datagram was lost. A digest is sent
// at this interval even without changes, since entry hosts do without a hub that is silent.
const repeatMs = 1000;
// An entry host that reports nothing for this long gets no more digests.
const memberTimeoutMs = 5000;

/** Options of the hub. */
export interface DomainHubOptions {
  readonly clock: Clock;
  readonly socket: DatagramSocket;
}

/**
 * Sums up the reports of the entry hosts of a large failure domain. Each of them sends its reports
 * to the hub only, which sends digests to all, so that a host handles few datagrams however many
 * others there are.
 */
export default class DomainHub {
  private readonly options: DomainHubOptions;

  private readonly activities = new PeerActivities();

  /** When the membership of each entry host expires, by address. */
  private readonly members = new Map<string, number>();

  /** Upstreams whose open requests changed since the last digest. */
  private readonly changed = new Set<string>();

  /** Loads that upstreams reported since the last digest. */
  private readonly loads = new Map<string, number>();

  /** Upstreams that gave evidence of a recovery since the last digest. */
  private readonly recoveries = new Set<string>();

  private readonly quotas = new QuotaSums();

  private repeatAt = -Infinity;

  constructor(options: DomainHubOptions) {
    this.options = options;
    options.socket.onMessage((message, from) => this.acceptMessage(message, from));
  }

  /** Sends digests while there are members, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      const digestMs = Math.max(minDigestMs, digestMsPerMember * this.members.size);
      await clock.sleepUntil(clock.now() + digestMs, signal);
      if (!signal.aborted) this.sendDigest(clock.now());
    }
  }

  private acceptMessage(message: DomainMessage, from: string): void {
    // Suspicions alone are for the relay.
    if (!hasReports(message)) return;
    const now = this.options.clock.now();
    this.members.set(from, now + memberTimeoutMs);
    this.activities.recordMessage(from, message, now);
    if (message.teams) this.quotas.acceptReport(message.teams, from, now);
    message.upstreams.forEach(({ upstream, reportedLoad, hasRecovered }) => {
      this.changed.add(upstream);
      if (reportedLoad !== undefined) this.loads.set(upstream, reportedLoad);
      if (hasRecovered) this.recoveries.add(upstream);
    });
  }

  private sendDigest(now: number): void {
    this.dropMembers(now);
    if (this.members.size === 0) return;
    const isRepeat = now >= this.repeatAt;
    if (!isRepeat && this.changed.size === 0 && !this.quotas.hasChanged) return;
    if (isRepeat) {
      this.repeatAt = now + repeatMs;
      this.activities.listBusy(now).forEach((upstream) => this.changed.add(upstream));
    }
    const digest: DomainMessage = {
      ...emptyDomainMessage,
      isDigest: true,
      upstreams: [...this.changed].map((upstream) => this.createActivity(upstream, now)),
      retries: this.activities.computeRetries(now),
    };
    [this.changed, this.loads, this.recoveries].forEach((changes) => changes.clear());
    // A host that the hub does not hear is not in the sum, so it must not use it.
    const counted = this.quotas.listHosts(now);
    const members = [...this.members.keys()];
    const others = members.filter((address) => !counted.has(address));
    if (others.length > 0) this.options.socket.sendMessage(digest, others);
    if (counted.size === 0) return;
    const teams = this.quotas.takeDigest(isRepeat, now);
    this.options.socket.sendMessage({ ...digest, teams }, [...counted]);
  }

  private createActivity(upstream: string, now: number): UpstreamActivity {
    return {
      ...emptyUpstreamActivity,
      upstream,
      inFlight: this.activities.countInFlight(upstream, now),
      reportedLoad: this.loads.get(upstream),
      hasRecovered: this.recoveries.has(upstream),
    };
  }

  private dropMembers(now: number): void {
    pruneMap(this.members, (until) => until <= now);
  }
}
