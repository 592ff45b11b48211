import type Result from '../../domain/errors/Result.ts';
import type Gossip from '../../application/membership/Gossip.ts';
import type { GossipMessage } from '../../ports/GossipLink.ts';
import { gossipMessageSchema } from './gossipMessages.ts';
import parseInput from './parseInput.ts';
import { procedure, router } from './trpcBase.ts';

/** Creates the `gossip` procedures of the peers listener, to be mounted under the key `gossip`. */
export default function createGossipRouter(options: {
  readonly gossip: Pick<Gossip, 'handleExchange'>;
}) {
  return router({
    exchange: procedure
      .input((input: unknown) => input)
      .mutation(({ input }): Result<GossipMessage> => {
        const message = parseInput('gossip.exchange', gossipMessageSchema, input);
        if (!message.ok) return message;
        return { ok: true, value: options.gossip.handleExchange(message.value) };
      }),
  });
}
