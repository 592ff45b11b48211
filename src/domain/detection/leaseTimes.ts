/**
 * Host clocks agree within this time (docs/design.md, section 4). A deadline that one host sets
 * and another observes is shortened or lengthened by it, whichever is safe.
 */
export const maxClockSkewMs = 500;

/** Time for which a reporter promises to recognise no other coordinator. */
export const coordinatorLeaseMs = 3000;
