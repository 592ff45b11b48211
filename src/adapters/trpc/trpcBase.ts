import { initTRPC } from '@trpc/server';

/** Identity of the caller of a procedure: the host name of a peer or the name of an operator. */
export interface CallContext {
  readonly callerName: string;
}

const trpc = initTRPC.context<CallContext>().create({ isServer: true });

/** Builds a router of procedures. */
export const { router } = trpc;

/**
 * Builder of procedures; the listeners refuse connections without the key before a procedure is
 * called.
 */
export const { procedure } = trpc;
