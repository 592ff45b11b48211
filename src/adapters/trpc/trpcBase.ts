import { initTRPC } from '@trpc/server';

/** Who calls a procedure: the host name of a peer or the name of an operator. */
export interface CallContext {
  readonly callerName: string;
}

const trpc = initTRPC.context<CallContext>().create({ isServer: true });

/** Builds a router of procedures. */
export const { router } = trpc;

/** Begins a procedure; callers without the key never reach one. */
export const { procedure } = trpc;
