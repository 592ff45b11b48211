/** Time between two messages of a leader to the same peer. */
export const heartbeatMs = 100;

/** An election timeout is drawn between these two. */
export const shortestElectionMs = 500;
export const longestElectionMs = 1000;

/** Shorter than the shortest election timeout, so that one lost message starts no election. */
export const messageTimeoutMs = 400;

/** Time between two attempts of a host without a group to find or form one. */
export const groupPollMs = 200;
