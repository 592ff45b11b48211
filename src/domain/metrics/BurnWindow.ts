/** Windows over which the burn rate of an error budget is computed. */
export type BurnWindow = '5m' | '1h' | '6h' | '3d';

/** Length of each window in milliseconds. */
export const burnWindowMs: Readonly<Record<BurnWindow, number>> = {
  '5m': 300_000,
  '1h': 3_600_000,
  '6h': 21_600_000,
  '3d': 259_200_000,
};

/** All windows, shortest first. */
export const burnWindows = Object.keys(burnWindowMs) as readonly BurnWindow[];

/** Requests of a service in one window. */
export interface RequestCounts {
  readonly good: number;
  readonly bad: number;
}

/** Requests of a service in each window. */
export type WindowCounts = Readonly<Record<BurnWindow, RequestCounts>>;
