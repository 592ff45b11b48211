import type Result from '../../domain/errors/Result.ts';
import type { PeerAddress } from '../../domain/membership/choosePeers.ts';
import type PresetState from '../../domain/presets/PresetState.ts';
import type PeerDialer from '../../ports/PeerDialer.ts';
import type PresetLink from '../../ports/PresetLink.ts';
import type PresetSource from './PresetSource.ts';

/** Options of the source. */
export interface ForwardingPresetSourceOptions {
  /** The source of this control host. */
  readonly source: PresetSource;
  readonly controlHosts: readonly PeerAddress[];
  readonly dialer: PeerDialer<PresetLink>;
}

/**
 * Forwards confirmations from a control host that is not the leader to the leader, for entry hosts
 * that cannot reach the leader themselves.
 */
export default class ForwardingPresetSource implements PresetSource {
  private readonly options: ForwardingPresetSourceOptions;

  private readonly links = new Map<string, PresetLink>();

  constructor(options: ForwardingPresetSourceOptions) {
    this.options = options;
  }

  watchState(afterRevision: number, deadline: number): Promise<PresetState | undefined> {
    return this.options.source.watchState(afterRevision, deadline);
  }

  async confirmState(deadline: number): Promise<Result<PresetState>> {
    const answer = await this.options.source.confirmState(deadline);
    if (answer.ok || answer.failure.kind !== 'not_leader') return answer;
    const link = this.findLink(answer.failure.leader);
    return link ? link.confirmState(deadline, 'control') : answer;
  }

  /** Closes the links to other control hosts. */
  close(): void {
    this.links.forEach((link) => link.close());
    this.links.clear();
  }

  private findLink(leader: string | undefined): PresetLink | undefined {
    const peer = this.options.controlHosts.find(({ host }) => host === leader);
    if (!peer) return undefined;
    const link = this.links.get(peer.host) ?? this.options.dialer.openLink(peer);
    this.links.set(peer.host, link);
    return link;
  }
}
