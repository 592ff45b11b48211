import { setMaxListeners } from 'node:events';

import type * as z from 'zod';

import type ControlCommand from '../../domain/control/ControlCommand.ts';
import type { ControlReply } from '../../domain/control/ControlCommand.ts';
import type Result from '../../domain/errors/Result.ts';
import type { ControlHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type FleetLink from '../../ports/FleetLink.ts';
import type { FeedAnswer, FeedRequest } from '../../ports/FleetLink.ts';
import {
  feedAnswerSchema,
  hostExchangeAnswerSchema,
  proposeAnswerSchema,
} from './fleetMessages.ts';
import type { SharedPeerConnection } from './TrpcPeerDialer.ts';

/** Calls the `fleet` procedures of a control host over the connection to it. */
export default class TrpcFleetLink implements FleetLink {
  private readonly shared: SharedPeerConnection;

  private readonly clock: Clock;

  private readonly closed = new AbortController();

  constructor(shared: SharedPeerConnection, clock: Clock) {
    this.shared = shared;
    this.clock = clock;
    // Every open call adds a listener; Node.js warns above 10.
    setMaxListeners(0, this.closed.signal);
  }

  exchangeHosts(
    known: readonly ControlHostInfo[],
    deadline: number,
  ): Promise<Result<readonly ControlHostInfo[]>> {
    return this.request('fleet.meet', known, hostExchangeAnswerSchema, deadline);
  }

  proposeCommand(command: ControlCommand, deadline: number): Promise<Result<ControlReply>> {
    // The clocks of hosts differ, so the message carries the remaining time instead of the
    // deadline.
    const leftMs = Math.max(0, deadline - this.clock.now());
    return this.request('fleet.propose', { command, leftMs }, proposeAnswerSchema, deadline);
  }

  watchFeed(request: FeedRequest, deadline: number): Promise<Result<FeedAnswer>> {
    return this.request('fleet.follow', request, feedAnswerSchema, deadline);
  }

  close(): void {
    this.closed.abort('closed');
    this.shared.release();
  }

  private request<Value>(
    path: string,
    input: unknown,
    output: z.ZodType<Result<Value>>,
    deadline: number,
  ): Promise<Result<Value>> {
    const { signal } = this.closed;
    return this.shared.connection.requestResult({ path, input, output, deadline, signal });
  }
}
