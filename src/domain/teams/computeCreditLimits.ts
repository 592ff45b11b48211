/** Bound on the requests of a team over all entry hosts. */
export interface QuotaSettings {
  /** In any window of this length, in milliseconds. */
  readonly windowMs: number;
  /** Share by which the rate and the burst may be exceeded in a window. */
  readonly overshoot: number;
  /** Requests by which they may be exceeded in a window beyond the share. */
  readonly slack: number;
}

/** Limits of a token bucket. */
export interface CreditLimits {
  readonly requestsPerMs: number;
  readonly burst: number;
  /** Length of the windows in which the limits are to be kept, in milliseconds. */
  readonly windowMs: number;
}

/** What a team may send over all entry hosts. */
export interface TeamLimit {
  readonly requestsPerSecond: number;
  readonly burst: number;
}

/** The bound where the settings name none. */
export const defaultQuotas: QuotaSettings = { windowMs: 5000, overshoot: 0, slack: 0 };

// These shares of what the bound allows beyond rate and burst are used. The rest is for requests
// that hosts admit before they hear of those of others.
const usedOvershoot = 0.6;
const usedSlack = 0.9;
// This share of what is used raises the rate, so that the part of a failure domain suffices for
// more than its share of the callers; the rest raises the burst.
const rateShare = 2 / 3;
// A burst below this share of a window would refuse requests that come at an even rate.
const minBurstShare = 0.1;

/** Computes the token bucket for a team of which the bound is kept over all entry hosts. */
export default function computeCreditLimits(
  { requestsPerSecond, burst }: TeamLimit,
  { windowMs, overshoot, slack }: QuotaSettings,
): CreditLimits {
  const perWindow = (requestsPerSecond * windowMs) / 1000;
  const extra = usedOvershoot * (perWindow + burst) * overshoot + usedSlack * slack;
  const all = perWindow + burst + extra;
  const atOnce = Math.max(burst + (1 - rateShare) * extra, minBurstShare * all);
  return { requestsPerMs: (all - atOnce) / windowMs, burst: atOnce, windowMs };
}
