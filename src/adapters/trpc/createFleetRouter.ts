import * as z from 'zod';

import type FeedService from '../../application/fleet/FeedService.ts';
import type ControlHostDiscovery from '../../application/fleet/ControlHostDiscovery.ts';
import type CommandLog from '../../application/replication/CommandLog.ts';
import type ControlCommand from '../../domain/control/ControlCommand.ts';
import type { ControlReply } from '../../domain/control/ControlCommand.ts';
import type Result from '../../domain/errors/Result.ts';
import type { ControlHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type { FeedAnswer } from '../../ports/FleetLink.ts';
import { controlCommandSchema } from './controlMessages.ts';
import { controlHostsSchema, feedRequestSchema } from './fleetMessages.ts';
import parseInput from './parseInput.ts';
import { procedure, router } from './trpcBase.ts';

const maxProposalMs = 10_000;

const proposalSchema = z.object({
  command: controlCommandSchema,
  leftMs: z.number().min(0).max(maxProposalMs),
});

/** Options of the procedures. */
export interface FleetRouterOptions {
  readonly clock: Clock;
  readonly feed: FeedService;
  readonly discovery: ControlHostDiscovery;
  readonly log: CommandLog<ControlCommand, ControlReply>;
}

/** Creates the `fleet` procedures of a control host that is found through seeds. */
export default function createFleetRouter({ clock, feed, discovery, log }: FleetRouterOptions) {
  const inputProcedure = procedure.input((input: unknown) => input);
  return router({
    meet: inputProcedure.mutation(
      async ({ input }): Promise<Result<readonly ControlHostInfo[]>> => {
        const parsed = parseInput('fleet.meet', controlHostsSchema, input);
        if (!parsed.ok) return parsed;
        discovery.addHosts(parsed.value);
        return { ok: true, value: discovery.listHosts() };
      },
    ),
    propose: inputProcedure.mutation(async ({ input }): Promise<Result<ControlReply>> => {
      const parsed = parseInput('fleet.propose', proposalSchema, input);
      if (!parsed.ok) return parsed;
      return log.proposeCommand(parsed.value.command, clock.now() + parsed.value.leftMs);
    }),
    follow: inputProcedure.mutation(async ({ input }): Promise<Result<FeedAnswer>> => {
      const parsed = parseInput('fleet.follow', feedRequestSchema, input);
      return parsed.ok ? { ok: true, value: await feed.handleFeed(parsed.value) } : parsed;
    }),
  });
}
