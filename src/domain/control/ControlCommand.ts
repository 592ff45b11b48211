import type { ClaimChange, ClaimDecision } from '../claims/Claim.ts';
import type Result from '../errors/Result.ts';
import type { Registration } from '../membership/RegisteredUpstream.ts';
import type { Removal, RegistryEffect } from '../membership/UpstreamRegistry.ts';
import type NumberedPreset from '../presets/NumberedPreset.ts';
import type Preset from '../presets/Preset.ts';

/** Stores a preset under a name. */
export interface PutPreset {
  readonly kind: 'put_preset';
  readonly name: string;
  readonly preset: Preset;
  /** Revision at which the preset last changed, 0 for a new one. */
  readonly basedOn: number;
  readonly changeId: string;
  readonly operator: string;
}

/** Makes a stored preset the active one. */
export interface UsePreset {
  readonly kind: 'use_preset';
  readonly name: string;
  /** Revision at which the choice of the active preset last changed, 0 when none was made. */
  readonly basedOn: number;
  readonly changeId: string;
  readonly operator: string;
}

/**
 * Makes a numbered preset the active one unless a preset of the same or a higher number is active.
 */
export interface PutNumberedPreset extends NumberedPreset {
  readonly kind: 'put_numbered_preset';
}

/** Registers what an upstream announced about itself. */
export interface RegisterUpstream {
  readonly kind: 'register_upstream';
  readonly registration: Registration;
  /** Address of the peers listener of the control host that received the announcement. */
  readonly keeper: string;
}

/** Marks the run of an upstream as `gone` or `silent`. */
export interface RemoveUpstream extends Removal {
  readonly kind: 'remove_upstream';
}

/** Decides a batch of claim changes in order. */
export interface ChangeClaims {
  readonly kind: 'change_claims';
  readonly changes: readonly ClaimChange[];
}

/** A command of the control group's log. */
type ControlCommand =
  PutPreset | UsePreset | ChangeClaims | PutNumberedPreset | RegisterUpstream | RemoveUpstream;

export type { ControlCommand as default };

/** Revision at which a preset change was accepted. */
export interface AcceptedChange {
  readonly revision: number;
}

/** The reply that the proposer of a command receives when the command is applied. */
export type ControlReply =
  | { readonly kind: 'preset_change'; readonly result: Result<AcceptedChange> }
  | {
      readonly kind: 'accepted';
      /** Set for a command that concerns an upstream. */
      readonly registryEffect?: RegistryEffect | undefined;
    }
  | { readonly kind: 'claims'; readonly decisions: readonly ClaimDecision[] };
