import type ControlCommand from '../domain/control/ControlCommand.ts';
import type { ControlReply } from '../domain/control/ControlCommand.ts';
import type Result from '../domain/errors/Result.ts';
import type { ControlHostInfo, EntryHostInfo } from '../domain/fleet/FleetHosts.ts';
import type { RegistryChanges } from '../domain/membership/UpstreamRegistry.ts';
import type NumberedPreset from '../domain/presets/NumberedPreset.ts';

/** What an entry host has, so that it gets only what it lacks. */
export interface FeedRequest {
  readonly entryHost: EntryHostInfo;
  /** Group whose changes it follows; empty before the first answer. */
  readonly groupId: string;
  /** Index of the last command that it knows. */
  readonly position: number;
  readonly presetNumber: number | undefined;
  /** Fingerprint of the hosts that it was told last. */
  readonly hostsVersion: string;
  /** Whether it only wants to know the hosts, and at once. */
  readonly wantsHostsOnly: boolean;
  /** How long the answer may wait for changes, in milliseconds. */
  readonly waitMs: number;
}

/** What the control group has committed that an entry host did not know. */
export interface FeedAnswer {
  /** Whether the control host is in touch with a leader, so that it misses nothing. */
  readonly isCurrent: boolean;
  readonly groupId: string;
  readonly position: number;
  readonly preset: NumberedPreset | undefined;
  readonly upstreams: RegistryChanges;
  /** Undefined when the asking host knows them. */
  readonly hosts: FeedHosts | undefined;
}

/** The hosts that an entry host works with. */
export interface FeedHosts {
  readonly version: string;
  readonly controlHosts: readonly ControlHostInfo[];
  /** Entry hosts of the failure domain of the asking one. */
  readonly entryHosts: readonly EntryHostInfo[];
}

/** The calls that hosts of a fleet without a list of hosts make at a control host. */
export default interface FleetLink {
  /** Tells a control host of others and learns those that it knows. */
  exchangeHosts(
    known: readonly ControlHostInfo[],
    deadline: number,
  ): Promise<Result<readonly ControlHostInfo[]>>;
  /** Has the leader commit a command; only the leader takes it. */
  proposeCommand(command: ControlCommand, deadline: number): Promise<Result<ControlReply>>;
  /** Changes in the control group, or the same position when there is none in time. */
  watchFeed(request: FeedRequest, deadline: number): Promise<Result<FeedAnswer>>;
  /** Ends open calls. */
  close(): void;
}
