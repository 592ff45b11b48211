import type Result from '../domain/errors/Result.ts';
import type PresetState from '../domain/presets/PresetState.ts';

/**
 * Role of the host that asks for a confirmation; a control host forwards only the requests of entry
 * hosts.
 */
export type ConfirmationAsker = 'entry' | 'control';

/** Reads presets over the connection to one control host. */
export default interface PresetLink {
  /**
   * Waits for a committed state with a higher revision; undefined when there is none by the
   * deadline.
   */
  watchState(afterRevision: number, deadline: number): Promise<Result<PresetState | undefined>>;
  /** Returns the active state, by a linearizable read through a majority of the control group. */
  confirmState(deadline: number, asker: ConfirmationAsker): Promise<Result<PresetState>>;
  /** Aborts open calls with `peer_unreachable`; may be called more than once. */
  close(): void;
}
