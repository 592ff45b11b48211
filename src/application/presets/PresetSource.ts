import type Result from '../../domain/errors/Result.ts';
import type PresetState from '../../domain/presets/PresetState.ts';

/** The active preset as a control host offers it to entry hosts. */
export default interface PresetSource {
  /** The newest committed state with a revision above the given one; undefined at the deadline. */
  watchState(afterRevision: number, deadline: number): Promise<PresetState | undefined>;
  /** A linearizable read through a majority of the control group; only the leader can answer. */
  confirmState(deadline: number): Promise<Result<PresetState>>;
}
