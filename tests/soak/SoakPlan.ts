/** How a stand-in upstream treats requests. */
export type UpstreamMode =
  | 'good'
  | 'failing'
  | 'resetting'
  | 'hanging'
  | 'slow'
  | 'truncating'
  | 'doubling'
  | 'refusing'
  /** Sends a body without end. */
  | 'endless';

/** One fault or piece of planned work; `target` is a position among the hosts or upstreams. */
export type SoakStep =
  | {
      readonly kind: 'kill' | 'stop' | 'pause' | 'hangup';
      readonly role: 'control' | 'entry';
      readonly target: number;
      readonly atMs: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'mode';
      readonly mode: UpstreamMode;
      /** Whether all upstreams of the service are concerned. */
      readonly isWide: boolean;
      readonly target: number;
      readonly atMs: number;
      readonly forMs: number;
    }
  | { readonly kind: 'leave' | 'crash'; readonly target: number; readonly atMs: number }
  | {
      readonly kind: 'link';
      readonly target: number;
      readonly atMs: number;
      readonly forMs: number;
      readonly fault: LinkFault;
    }
  | { readonly kind: 'preset'; readonly atMs: number };

/** What happens to the connections between entry hosts and an upstream. */
export type LinkFault = 'delayed' | 'reset' | 'silent_to_upstream' | 'silent_from_upstream';

/** A whole run, drawn before it starts. */
export interface SoakPlan {
  readonly seed: number;
  readonly durationMs: number;
  readonly controlHosts: number;
  readonly entryHosts: number;
  /** Upstreams of each service. */
  readonly upstreams: number;
  readonly callers: number;
  readonly steps: readonly SoakStep[];
}
