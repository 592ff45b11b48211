import type Result from '../../domain/errors/Result.ts';
import type HostRecord from '../../domain/membership/HostRecord.ts';
import isLagging from '../../domain/presets/isLagging.ts';
import type PresetSource from '../presets/PresetSource.ts';
import type HostListing from './HostListing.ts';

/** The active preset and which revision each host has. */
export interface PresetStatus {
  readonly name: string;
  readonly revision: number;
  /** Number of entry hosts that the preset sets (`fleet.entry_hosts`). */
  readonly entryHosts: number;
  /** Sorted by name. */
  readonly hosts: readonly (Pick<
    HostRecord,
    'host' | 'role' | 'failureDomain' | 'state' | 'presetName' | 'revision'
  > & { readonly isLagging: boolean })[];
}

/** Compares the active revision with the revisions that the hosts publish. */
export default class PresetStatusReader {
  private readonly source: PresetSource;

  private readonly hosts: HostListing;

  constructor(options: { readonly source: PresetSource; readonly hosts: HostListing }) {
    this.source = options.source;
    this.hosts = options.hosts;
  }

  /** Reads the active preset through a linearizable read; only the leader can answer. */
  async readStatus(deadline: number): Promise<Result<PresetStatus>> {
    const confirmed = await this.source.confirmState(deadline);
    if (!confirmed.ok) return confirmed;
    const { name, revision, preset } = confirmed.value;
    const hosts = this.hosts
      .listHosts()
      .map((record) => ({
        host: record.host,
        role: record.role,
        failureDomain: record.failureDomain,
        state: record.state,
        presetName: record.presetName,
        revision: record.revision,
        isLagging: isLagging(record, revision),
      }))
      .sort((first, second) => (first.host < second.host ? -1 : 1));
    return { ok: true, value: { name, revision, entryHosts: preset.fleet.entryHosts, hosts } };
  }
}
