import type { TeamSettings } from '../presets/Preset.ts';

/** Who sent a request. */
type CallerIdentity =
  /** The active preset has no teams. */
  | { readonly kind: 'unchecked' }
  /** The route is public, and the request has no key of a team. */
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'team'; readonly team: TeamSettings };

export type { CallerIdentity as default };
