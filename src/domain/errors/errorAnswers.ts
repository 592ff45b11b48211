import type ErrorKind from './ErrorKind.ts';
import type Outcome from './Outcome.ts';

/** The HTTP status of an error kind and what it says about the operation. */
export interface ErrorAnswer {
  readonly status: number;
  readonly outcome: Outcome;
}

const refuse = (status: number): ErrorAnswer => ({ status, outcome: 'not-run' });
const failUnknown = (status: number): ErrorAnswer => ({ status, outcome: 'unknown' });

/**
 * The answer for each error kind. The outcome is 'not-run' only where no byte of the operation can
 * have left the host.
 */
const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  request_malformed: refuse(400),
  request_timeout: refuse(408),
  route_unknown: refuse(404),
  headers_too_large: refuse(431),
  body_too_large: refuse(413),
  deadline_invalid: refuse(400),
  deadline_passed: refuse(504),
  host_not_ready: refuse(503),
  host_stopping: refuse(503),
  host_overloaded: refuse(503),
  caller_gone: refuse(499),
  caller_gone_after_dispatch: failUnknown(499),

  team_key_unknown: refuse(401),
  quota_exceeded: refuse(429),

  key_required: refuse(400),
  key_invalid: refuse(400),
  key_mismatch: refuse(422),
  key_expired: failUnknown(409),
  operation_in_progress: failUnknown(409),
  operation_outcome_unknown: failUnknown(409),
  answer_not_kept: { status: 409, outcome: 'ran' },
  claims_unavailable: refuse(503),
  claims_full: refuse(503),

  no_upstream: refuse(503),
  upstreams_limited: refuse(503),
  upstreams_paused: refuse(503),
  upstream_unreachable: refuse(503),
  upstream_refused: refuse(503),
  upstream_timeout: failUnknown(504),
  upstream_reset: failUnknown(502),
  answer_truncated: failUnknown(502),
  answer_mismatched: failUnknown(502),
  answer_too_large: failUnknown(502),
  answer_dropped: failUnknown(502),

  announcement_invalid: refuse(400),
  announcement_stale: refuse(409),

  unauthorized: refuse(401),
  preset_invalid: refuse(400),
  preset_unknown: refuse(404),
  service_unknown: refuse(404),
  revision_conflict: refuse(409),
  change_id_reused: refuse(409),
  not_leader: refuse(503),
  no_quorum: failUnknown(503),
  wrong_replica: refuse(409),
  message_invalid: refuse(400),
  peer_unreachable: failUnknown(503),

  settings_invalid: refuse(500),
  address_in_use: refuse(500),
  data_folder_unusable: refuse(500),
  log_damaged: refuse(500),

  internal: failUnknown(500),
};

export default errorAnswers;
