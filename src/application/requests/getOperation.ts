import type { RouteSettings } from '../../domain/presets/Preset.ts';

/**
 * Names the kind of a route's requests. Routes with the same terms for the same service are assumed
 * to carry the same kind of requests.
 */
export default function getOperation({ service, repeat, objectiveMs }: RouteSettings): string {
  return `${service} ${repeat} ${objectiveMs ?? ''}`;
}
