import type PresetSource from '../../application/presets/PresetSource.ts';
import type Result from '../../domain/errors/Result.ts';
import type PresetState from '../../domain/presets/PresetState.ts';
import type Clock from '../../ports/Clock.ts';
import parseInput from './parseInput.ts';
import { confirmInputSchema, watchInputSchema } from './presetMessages.ts';
import { procedure, router } from './trpcBase.ts';

// Limits how long a peer whose clock is ahead can keep a call open.
const maxCallMs = 60_000;

/** Options of the procedures. */
export interface PresetRouterOptions {
  readonly clock: Clock;
  /** Answers from the state of this control host. */
  readonly source: PresetSource;
  /** Forwards requests to the leader when this control host is not the leader. */
  readonly forwarding: PresetSource;
}

/**
 * Creates the `presets` procedures of a control host's peers listener, to be mounted under the key
 * `presets`.
 */
export default function createPresetRouter({ clock, source, forwarding }: PresetRouterOptions) {
  const computeDeadline = (deadline: number): number => Math.min(deadline, clock.now() + maxCallMs);
  return router({
    watch: procedure
      .input((input: unknown) => input)
      .mutation(async ({ input }): Promise<Result<PresetState | undefined>> => {
        const parsed = parseInput('presets.watch', watchInputSchema, input);
        if (!parsed.ok) return parsed;
        const { afterRevision, deadline } = parsed.value;
        const value = await source.watchState(afterRevision, computeDeadline(deadline));
        return { ok: true, value };
      }),
    confirm: procedure
      .input((input: unknown) => input)
      .mutation(async ({ input }): Promise<Result<PresetState>> => {
        const parsed = parseInput('presets.confirm', confirmInputSchema, input);
        if (!parsed.ok) return parsed;
        const { asker, deadline } = parsed.value;
        const confirmingSource = asker === 'entry' ? forwarding : source;
        return confirmingSource.confirmState(computeDeadline(deadline));
      }),
  });
}
