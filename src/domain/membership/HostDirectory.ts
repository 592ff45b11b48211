import Directory from './Directory.ts';
import type { RecordRules } from './Directory.ts';
import type HostRecord from './HostRecord.ts';
import type HostSource from './HostSource.ts';

/** Returns the record when it is well-formed, undefined otherwise. */
export type HostRecordChecker = (value: unknown) => HostRecord | undefined;

class HostRules implements RecordRules<HostRecord> {
  readonly name = 'hosts';

  readonly checkRecord: HostRecordChecker;

  constructor(checkRecord: HostRecordChecker) {
    this.checkRecord = checkRecord;
  }

  getKey({ host }: HostRecord): string {
    return host;
  }

  // All hosts belong to one group.
  getGroup(): string {
    return this.name;
  }

  getVersion({ incarnation, sequence }: HostRecord): readonly number[] {
    return [incarnation, sequence];
  }

  mergeRecord(_current: HostRecord | undefined, next: HostRecord): HostRecord {
    return next;
  }

  // A new preset revision waits for the regular exchange, because a preset change updates the
  // revision in the records of all hosts.
  isUrgent(current: HostRecord, next: HostRecord): boolean {
    return current.state !== next.state || current.peerAddress !== next.peerAddress;
  }
}

/** The newest records that the hosts of the fleet published about themselves. */
export default class HostDirectory extends Directory<HostRecord> implements HostSource {
  constructor(options: { readonly checkRecord: HostRecordChecker }) {
    super(new HostRules(options.checkRecord));
  }

  listHosts(now: number): readonly HostRecord[] {
    return this.listRecords(now);
  }

  /** Hosts with a valid lease that are not stopping, sorted by name. */
  listLive(now: number): readonly HostRecord[] {
    return this.listRecords(now)
      .filter(({ state }) => state !== 'stopping')
      .sort((left, right) => (left.host < right.host ? -1 : 1));
  }

  /**
   * Hosts that were dropped in the last 10 minutes without having announced that they were
   * stopping.
   */
  listLost(): readonly HostRecord[] {
    return this.listDropped().filter(({ state }) => state !== 'stopping');
  }
}
