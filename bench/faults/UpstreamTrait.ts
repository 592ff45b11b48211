/** How some upstreams of a simulated service differ from the others for a time. */
export interface UpstreamTrait {
  /** The first upstreams of each failure domain have the trait. */
  readonly count: number;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Factor of the processing time; 1 unless set. */
  readonly workFactor?: number;
  /** Weight that entry hosts give the upstream; 1 unless set. */
  readonly weight?: number;
  /** Share of requests that the upstream refuses without running them; none unless set. */
  readonly refusedShare?: number;
  /** Time after which entry hosts no longer use the upstream, in milliseconds; never unless set. */
  readonly unlistedMs?: number;
}

const noTrait: UpstreamTrait = { count: 0, fromMs: 0, untilMs: 0 };

/** Returns the trait that an upstream has at an instant; `position` is that in its domain. */
export default function findTrait(
  traits: readonly UpstreamTrait[],
  position: number,
  now: number,
): UpstreamTrait {
  const isInEffect = ({ count, fromMs, untilMs }: UpstreamTrait): boolean =>
    position < count && now >= fromMs && now < untilMs;
  return traits.find(isInEffect) ?? noTrait;
}
