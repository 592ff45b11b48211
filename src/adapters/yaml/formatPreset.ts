import { stringify } from 'yaml';

import type Preset from '../../domain/presets/Preset.ts';
import type { RouteSettings, ServiceSettings, TeamSettings } from '../../domain/presets/Preset.ts';

function encodeService(service: ServiceSettings) {
  return {
    upstreams: service.upstreams,
    floor: service.floor,
    detection: service.detection,
    retry_share: service.retryShare,
    ramp_ms: service.rampMs,
    echo_request_id: service.echoRequestId,
    objective: {
      good_share: service.objective.goodShare,
      within_ms: service.objective.withinMs,
    },
  };
}

function encodeRoute(route: RouteSettings) {
  return {
    method: route.method,
    path: route.path,
    service: route.service,
    repeat: route.repeat,
    key: route.key,
    deadline_ms: route.deadlineMs,
    max_body_bytes: route.maxBodyBytes,
    max_answer_bytes: route.maxAnswerBytes,
    public: route.isPublic,
  };
}

function encodeTeam(team: TeamSettings) {
  return {
    name: team.name,
    keys: team.keys,
    priority: team.priority,
    requests_per_second: team.requestsPerSecond,
    burst: team.burst,
  };
}

/**
 * Formats a preset as a YAML file that `parsePreset` can read. The file contains the keys of the
 * teams.
 */
export default function formatPreset(preset: Preset): string {
  return stringify({
    fleet: { entry_hosts: preset.fleet.entryHosts },
    services: Object.fromEntries(
      Object.entries(preset.services).map(([name, service]) => [name, encodeService(service)]),
    ),
    routes: preset.routes.map(encodeRoute),
    teams: preset.teams?.map(encodeTeam),
  });
}
