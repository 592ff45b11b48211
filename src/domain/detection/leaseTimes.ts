/**
 * Maximum difference between host clocks (docs/design.md, section 4). A deadline that one host sets
 * and another applies is shortened or lengthened by it, whichever is safe.
 */
export const maxClockSkewMs = 500;

/** Duration of a coordinator lease, during which the reporter recognises no other coordinator. */
export const coordinatorLeaseMs = 3000;
