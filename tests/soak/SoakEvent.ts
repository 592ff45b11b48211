/** Signals and restarts of a host, by their effect. */
export type HostDisturbance = 'kill' | 'stop' | 'pause' | 'resume' | 'start' | 'hangup';

/** What callers, upstreams and the operator saw, and what was done to hosts. */
export type SoakEvent =
  | {
      readonly kind: 'request_sent';
      readonly id: string;
      readonly host: string;
      readonly service: string;
      readonly mayRepeat: boolean;
    }
  | {
      readonly kind: 'request_answered';
      readonly id: string;
      readonly status: number;
      readonly signature: string;
      readonly body: string;
    }
  /** No connection was opened, so no request was sent. */
  | { readonly kind: 'connection_refused'; readonly host: string }
  /** The connection ended before the answer was whole. */
  | { readonly kind: 'request_cut'; readonly id: string }
  | {
      readonly kind: 'request_arrived';
      readonly id: string;
      readonly upstream: string;
      readonly service: string;
    }
  | { readonly kind: 'request_ran'; readonly id: string; readonly upstream: string }
  | { readonly kind: 'leaving_acknowledged'; readonly upstream: string }
  | { readonly kind: 'preset_sent'; readonly number: number; readonly service: string }
  | { readonly kind: 'preset_acknowledged'; readonly number: number }
  /** The answer to a read that was sent `tookMs` earlier. */
  | {
      readonly kind: 'preset_read';
      readonly host: string;
      readonly number: number;
      readonly tookMs: number;
    }
  | { readonly kind: 'last_read'; readonly number: number | undefined }
  | {
      readonly kind: 'host_disturbed';
      readonly host: string;
      readonly role: 'control' | 'entry';
      readonly disturbance: HostDisturbance;
    }
  | { readonly kind: 'host_exited'; readonly host: string; readonly code: number | string }
  | { readonly kind: 'memory_measured'; readonly host: string; readonly mib: number }
  /** The soak itself did not run for a while, so that it saw late what happened then. */
  | { readonly kind: 'soak_stalled'; readonly tookMs: number }
  | { readonly kind: 'faults_ended' };

/** Names of the events. */
export type SoakEventKind = SoakEvent['kind'];

/** An event and its time since the start of the run, in milliseconds. */
export type TimedEvent<Kind extends SoakEventKind = SoakEventKind> = Extract<
  SoakEvent,
  { readonly kind: Kind }
> & { readonly at: number };
