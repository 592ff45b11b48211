/** All error kinds; `errorAnswers` maps each of them to its answer. */
type ErrorKind =
  // Requests of callers.
  | 'request_malformed'
  | 'request_timeout'
  | 'route_unknown'
  | 'headers_too_large'
  | 'body_too_large'
  | 'deadline_invalid'
  | 'deadline_passed'
  | 'host_not_ready'
  | 'host_stopping'
  | 'host_overloaded'
  | 'caller_gone'
  | 'caller_gone_after_dispatch'
  // Teams.
  | 'team_key_unknown'
  | 'quota_exceeded'
  // Idempotency keys and claims.
  | 'key_required'
  | 'key_invalid'
  | 'key_mismatch'
  | 'key_expired'
  | 'operation_in_progress'
  | 'operation_outcome_unknown'
  | 'answer_not_kept'
  | 'claims_unavailable'
  | 'claims_full'
  // Upstreams.
  | 'no_upstream'
  | 'upstreams_limited'
  | 'upstreams_paused'
  | 'upstream_unreachable'
  | 'upstream_refused'
  | 'upstream_timeout'
  | 'upstream_reset'
  | 'answer_truncated'
  | 'answer_mismatched'
  | 'answer_too_large'
  | 'answer_dropped'
  // Announcements.
  | 'announcement_invalid'
  | 'announcement_stale'
  // Operators and the control group.
  | 'unauthorized'
  | 'preset_invalid'
  | 'preset_unknown'
  | 'service_unknown'
  | 'revision_conflict'
  | 'change_id_reused'
  | 'not_leader'
  | 'no_quorum'
  | 'wrong_replica'
  | 'message_invalid'
  | 'peer_unreachable'
  // Start of a process.
  | 'settings_invalid'
  | 'address_in_use'
  | 'data_folder_unusable'
  | 'log_damaged'
  // A fault of this program.
  | 'internal';

export type { ErrorKind as default };
