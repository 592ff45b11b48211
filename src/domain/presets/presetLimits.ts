/** Smallest and largest allowed value. */
export interface Range {
  readonly minimum: number;
  readonly maximum: number;
}

/** Allowed values of the numbers in a preset, by their key in the file. */
const presetLimits = {
  entry_hosts: { minimum: 1, maximum: 10_000 },
  upstreams: { minimum: 1, maximum: 10_000 },
  floor: { minimum: 0, maximum: 10_000 },
  retry_share: { minimum: 0, maximum: 1 },
  ramp_ms: { minimum: 0, maximum: 600_000 },
  good_share: { minimum: 0.5, maximum: 0.99999 },
  within_ms: { minimum: 1, maximum: 600_000 },
  deadline_ms: { minimum: 1, maximum: 600_000 },
  max_body_bytes: { minimum: 0, maximum: 16_777_216 },
  max_answer_bytes: { minimum: 1, maximum: 67_108_864 },
} satisfies Readonly<Record<string, Range>>;

export default presetLimits;

/** Maximum number of routes in a preset. */
export const maxRoutes = 50_000;

/** Method value of a route that matches every method. */
export const anyMethod = 'ANY';

/** Methods that a route of a preset file may have. */
export const routeMethods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

/** Pattern of the names of presets and services. */
export const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** Describes `namePattern` in error messages. */
export const nameExpected =
  'expected 1 to 63 lower-case letters, digits or hyphens, not starting with a hyphen';
