import type ControlCommand from '../domain/control/ControlCommand.ts';
import type { ControlReply } from '../domain/control/ControlCommand.ts';
import type Result from '../domain/errors/Result.ts';
import type { ControlHostInfo, EntryHostInfo } from '../domain/fleet/FleetHosts.ts';
import type { RegistryChanges } from '../domain/membership/UpstreamRegistry.ts';
import type NumberedPreset from '../domain/presets/NumberedPreset.ts';

/** Describes what an entry host already has, so that the answer contains only what it lacks. */
export interface FeedRequest {
  readonly entryHost: EntryHostInfo;
  /** Control group whose changes the entry host follows; empty before the first answer. */
  readonly groupId: string;
  /** Log index of the last command that the entry host has received. */
  readonly position: number;
  readonly presetNumber: number | undefined;
  /** Fingerprint of the list of hosts that the entry host received last. */
  readonly hostsVersion: string;
  /** Whether the entry host asks for the hosts only, without waiting for changes. */
  readonly wantsHostsOnly: boolean;
  /** How long the control host may wait for changes before it answers, in milliseconds. */
  readonly waitMs: number;
  /** Whether the control host also waits while it is not current, instead of answering at once. */
  readonly waitsUntilCurrent: boolean;
}

/** Committed changes of the control group that an entry host lacks. */
export interface FeedAnswer {
  /**
   * Whether the control host is in contact with a leader, so that it misses no committed change.
   */
  readonly isCurrent: boolean;
  readonly groupId: string;
  readonly position: number;
  readonly preset: NumberedPreset | undefined;
  readonly upstreams: RegistryChanges;
  /** Undefined when the entry host has the current list. */
  readonly hosts: FeedHosts | undefined;
}

/** The hosts that an entry host communicates with. */
export interface FeedHosts {
  readonly version: string;
  readonly controlHosts: readonly ControlHostInfo[];
  /** Entry hosts in the failure domain of the requesting entry host. */
  readonly entryHosts: readonly EntryHostInfo[];
}

/**
 * Calls to a control host, in a fleet whose hosts are found through seeds instead of a configured
 * list.
 */
export default interface FleetLink {
  /** Sends the known control hosts and returns those that the peer knows. */
  exchangeHosts(
    known: readonly ControlHostInfo[],
    deadline: number,
  ): Promise<Result<readonly ControlHostInfo[]>>;
  /** Proposes a command to the control group; only the leader accepts it. */
  proposeCommand(command: ControlCommand, deadline: number): Promise<Result<ControlReply>>;
  /**
   * Returns the changes after the requested position, or the same position when none is committed
   * within the waiting time.
   */
  watchFeed(request: FeedRequest, deadline: number): Promise<Result<FeedAnswer>>;
  /** Aborts open calls. */
  close(): void;
}
