import type Preset from '../Preset.ts';
import type { CallerLimits, RouteSettings, ServiceSettings, TeamSettings } from '../Preset.ts';
import type { KeyPath } from './Finding.ts';

type PresetField =
  | keyof Preset
  | keyof Preset['fleet']
  | keyof ServiceSettings
  | keyof ServiceSettings['objective']
  | keyof RouteSettings
  | keyof TeamSettings
  | keyof CallerLimits;

/** Keys of a kind of file by the fields of `Preset` that they set; the same key unless listed. */
type KeyNames = Readonly<Partial<Record<PresetField, string>>>;

export type { KeyNames as default };

/** Formats a path as the key path in a kind of file. */
export function formatKeyPath(path: KeyPath, names: KeyNames): string {
  // Below `services` is the name of a service, which may be the same as that of a field.
  const isName = (index: number): boolean => index === 1 && path[0] === 'services';
  return path
    .map((part, index) =>
      typeof part === 'string' && !isName(index) ? (names[part as PresetField] ?? part) : part,
    )
    .join('.');
}
