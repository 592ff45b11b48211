import type Result from '../../domain/errors/Result.ts';
import type PresetState from '../../domain/presets/PresetState.ts';
import type PresetLink from '../../ports/PresetLink.ts';
import type { ConfirmationAsker } from '../../ports/PresetLink.ts';
import { createOptionalSchema, createResultSchema } from './failureSchema.ts';
import { presetStateSchema } from './presetMessages.ts';
import type { SharedPeerConnection } from './TrpcPeerDialer.ts';

// The control host answers at the deadline by its own clock, which may be 500 ms behind.
const answerGraceMs = 1000;

const confirmAnswerSchema = createResultSchema(presetStateSchema);
const watchAnswerSchema = createResultSchema(createOptionalSchema(presetStateSchema));

/** Reads presets over the connection to a control host. */
export default class TrpcPresetLink implements PresetLink {
  private readonly shared: SharedPeerConnection;

  private readonly closed = new AbortController();

  constructor(shared: SharedPeerConnection) {
    this.shared = shared;
  }

  watchState(afterRevision: number, deadline: number): Promise<Result<PresetState | undefined>> {
    return this.shared.connection.requestResult({
      path: 'presets.watch',
      input: { afterRevision, deadline },
      output: watchAnswerSchema,
      deadline: deadline + answerGraceMs,
      signal: this.closed.signal,
    });
  }

  confirmState(deadline: number, asker: ConfirmationAsker): Promise<Result<PresetState>> {
    return this.shared.connection.requestResult({
      path: 'presets.confirm',
      input: { deadline, asker },
      output: confirmAnswerSchema,
      deadline: deadline + answerGraceMs,
      signal: this.closed.signal,
    });
  }

  close(): void {
    this.closed.abort();
    this.shared.release();
  }
}
