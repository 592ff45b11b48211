import type ControlCommand from '../../domain/control/ControlCommand.ts';
import type { ControlReply } from '../../domain/control/ControlCommand.ts';
import type Result from '../../domain/errors/Result.ts';
import type Clock from '../../ports/Clock.ts';
import type FleetLink from '../../ports/FleetLink.ts';
import type CommandLog from '../replication/CommandLog.ts';

const retryMs = 50;

/** Options of the forwarder. */
export interface CommandForwarderOptions {
  readonly clock: Clock;
  readonly log: CommandLog<ControlCommand, ControlReply>;
  /** Peers address of this host. */
  readonly ownAddress: string;
  readonly openLink: (address: string) => FleetLink;
}

/** Commits commands from any control host; followers forward the commands to the leader. */
export default class CommandForwarder {
  private readonly options: CommandForwarderOptions;

  private readonly links = new Map<string, FleetLink>();

  constructor(options: CommandForwarderOptions) {
    this.options = options;
  }

  /**
   * Commits an idempotent command, which may be committed more than once. While no leader is known,
   * retries until the deadline.
   */
  async commitCommand(command: ControlCommand, deadline: number): Promise<Result<ControlReply>> {
    const { clock } = this.options;
    let result = await this.proposeOnce(command, deadline);
    while (!result.ok && result.failure.kind === 'not_leader' && clock.now() < deadline) {
      await clock.sleepUntil(Math.min(deadline, clock.now() + retryMs));
      result = await this.proposeOnce(command, deadline);
    }
    return result;
  }

  close(): void {
    this.links.forEach((link) => link.close());
  }

  private proposeOnce(command: ControlCommand, deadline: number): Promise<Result<ControlReply>> {
    const { log, ownAddress } = this.options;
    const { leader } = log;
    if (leader === undefined || leader === ownAddress) return log.proposeCommand(command, deadline);
    return this.getLink(leader).proposeCommand(command, deadline);
  }

  // Links stay open, because commands are forwarded to the leader all the time.
  private getLink(address: string): FleetLink {
    const known = this.links.get(address);
    if (known) return known;
    const link = this.options.openLink(address);
    this.links.set(address, link);
    return link;
  }
}
