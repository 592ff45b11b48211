import type Result from '../domain/errors/Result.ts';
import type PresetState from '../domain/presets/PresetState.ts';

/** Who asks for a confirmation; a control host passes only the question of an entry host on. */
export type ConfirmationAsker = 'entry' | 'control';

/** The connection to one control host as the preset watcher uses it. */
export default interface PresetLink {
  /** A committed state with a higher revision; undefined when there is none by the deadline. */
  watchState(afterRevision: number, deadline: number): Promise<Result<PresetState | undefined>>;
  /** The state in force by a linearizable read through a majority of the control group. */
  confirmState(deadline: number, asker: ConfirmationAsker): Promise<Result<PresetState>>;
  /** Ends open calls with `peer_unreachable`; may be called again. */
  close(): void;
}
