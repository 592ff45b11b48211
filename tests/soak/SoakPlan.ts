import type { ListenerName } from '../fixtures/PlatformFleet.ts';

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

/** What a stranger sends on a connection. */
export type StrangerInput =
  | 'nothing'
  | 'bytes'
  | 'half_head'
  | 'half_body'
  | 'unknown_expectation'
  | 'bad_chunk'
  | 'two_lengths'
  | 'bad_path'
  | 'long_head'
  | 'many_requests'
  | 'connect'
  | 'upgrade'
  | 'upgrade_and_frames'
  | 'other_upgrade'
  | 'bad_document'
  | 'bad_instance';

/** What each client of a crowd sends, which costs memory until its connection ends. */
export type CrowdInput = 'stopped_body' | 'tiny_chunks' | 'short_fields' | 'unread_requests';

/** How a stranger ends a connection; an idle one is closed after the time of the step. */
export type StrangerEnding = 'reset' | 'late_reset' | 'reset_on_answer' | 'half_close' | 'idle';

/** What is done to a host. */
export interface HostStep {
  readonly kind: 'kill' | 'stop' | 'pause' | 'hangup';
  readonly role: 'control' | 'entry';
  readonly target: number;
  readonly atMs: number;
  readonly forMs: number;
  /** A second signal to a host that stops. */
  readonly again?: { readonly signal: 'SIGTERM' | 'SIGHUP'; readonly afterMs: number };
  /** When a host that was started again is told to reload, from when it takes signals. */
  readonly reloadMs?: number;
}

/** Connections of strangers to a listener of a host. */
export interface StrangerStep {
  readonly kind: 'strangers';
  readonly role: 'control' | 'entry';
  readonly target: number;
  readonly listener: ListenerName;
  readonly input: StrangerInput | CrowdInput;
  readonly ending: StrangerEnding;
  readonly count: number;
  readonly atMs: number;
  readonly forMs: number;
}

/** Datagrams of a stranger to the peers' port of a host. */
export interface DatagramStep {
  readonly kind: 'datagrams';
  readonly role: 'control' | 'entry';
  readonly target: number;
  readonly count: number;
  readonly atMs: number;
}

/** What is done to an upstream. */
export type UpstreamStep =
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
    };

/** One fault or piece of planned work; `target` is a position among the hosts or upstreams. */
export type SoakStep =
  | HostStep
  | StrangerStep
  | DatagramStep
  | UpstreamStep
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
