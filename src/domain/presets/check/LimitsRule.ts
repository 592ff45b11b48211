import type Preset from '../Preset.ts';
import type { RouteSettings, TeamSettings } from '../Preset.ts';
import type Finding from './Finding.ts';
import type PresetRule from './PresetRule.ts';

// Requests of a team in one window, without burst, below which nearly all of them are refused.
const minRequestsPerWindow = 0.1;
// An upstream with 4 slots would have to answer each request within 4 ms.
const maxRatePerUpstream = 1000;

/** Options of the rule. */
export interface LimitsRuleOptions {
  /** Bytes of requests and answers that a host keeps in memory at a time. */
  readonly maxBufferedBytes: number;
  /** Window in which the limits of teams are kept, in milliseconds. */
  readonly windowMs: number;
}

/** Reports limits of a preset that contradict each other or those of a host. */
export default class LimitsRule implements PresetRule {
  private readonly options: LimitsRuleOptions;

  constructor(options: LimitsRuleOptions) {
    this.options = options;
  }

  listFindings(preset: Preset): readonly Finding[] {
    return [
      ...preset.routes.flatMap((route, index) => this.listRouteFindings(route, index)),
      ...this.listServiceFindings(preset),
      ...this.listBodyFindings(preset),
      ...(preset.teams ?? []).flatMap((team, index) => this.listTeamFindings(team, index)),
      ...this.listRateFindings(preset),
    ];
  }

  private listRouteFindings(route: RouteSettings, index: number): readonly Finding[] {
    const { objectiveMs = 0, deadlineMs, maxAnswerBytes } = route;
    const { maxBufferedBytes } = this.options;
    const late: Finding = {
      code: 'objective_above_deadline',
      path: ['routes', index, 'objectiveMs'],
      message: `the objective of ${objectiveMs} ms is above the route's time limit of ${deadlineMs} ms`,
    };
    const large: Finding = {
      code: 'answer_above_memory',
      path: ['routes', index, 'maxAnswerBytes'],
      message: `a host keeps ${maxBufferedBytes} bytes at a time, fewer than the limit of ${maxAnswerBytes}`,
    };
    return [
      ...(objectiveMs > deadlineMs ? [late] : []),
      ...(maxAnswerBytes > maxBufferedBytes ? [large] : []),
    ];
  }

  // A service without a number of upstreams has the settings of its codec, not of the file.
  private listServiceFindings({ services, routes }: Preset): readonly Finding[] {
    const deadlines = new Map<string, number>();
    routes.forEach(({ service, deadlineMs }) =>
      deadlines.set(service, Math.max(deadlineMs, deadlines.get(service) ?? 0)),
    );
    return Object.entries(services)
      .filter(([, { upstreams }]) => upstreams > 0)
      .flatMap(([name, { objective }]) => {
        const deadlineMs = deadlines.get(name) ?? Infinity;
        if (objective.withinMs <= deadlineMs) return [];
        const message = `the objective of ${objective.withinMs} ms is above the longest time limit of the service's routes, ${deadlineMs} ms`;
        const path = ['services', name, 'objective', 'withinMs'];
        return [{ code: 'objective_above_deadline' as const, path, message }];
      });
  }

  private listBodyFindings({ limits, routes }: Preset): readonly Finding[] {
    const { maxBufferedBytes } = this.options;
    // Limits for all callers stand in each route too.
    const bodies = limits
      ? [{ maxBodyBytes: limits.maxBodyBytes, path: ['limits', 'maxBodyBytes'] }]
      : routes.map(({ maxBodyBytes }, index) => ({
          maxBodyBytes,
          path: ['routes', index, 'maxBodyBytes'],
        }));
    return bodies
      .filter(({ maxBodyBytes }) => maxBodyBytes > maxBufferedBytes)
      .map(({ maxBodyBytes, path }) => ({
        code: 'body_above_memory' as const,
        path,
        message: `a host keeps ${maxBufferedBytes} bytes at a time, fewer than the limit of ${maxBodyBytes}`,
      }));
  }

  private listTeamFindings(team: TeamSettings, index: number): readonly Finding[] {
    const { name, requestsPerSecond, burst } = team;
    if (requestsPerSecond === undefined) {
      if (burst === 0) return [];
      const message = `the burst of team "${name}" has no effect: without a rate the team has no limit`;
      return [{ code: 'burst_without_rate', path: ['teams', index, 'burst'], message }];
    }
    const { windowMs } = this.options;
    const requests = (requestsPerSecond * windowMs) / 1000;
    if (requests >= minRequestsPerWindow) return [];
    const message = `team "${name}" may send ${Number(requests.toPrecision(2))} requests in ${windowMs} ms`;
    const path = ['teams', index, 'requestsPerSecond'];
    return [{ code: 'rate_below_window', path, message }];
  }

  // The file states numbers of upstreams, but neither their slots nor how long requests take.
  private listRateFindings({ services, teams = [] }: Preset): readonly Finding[] {
    const upstreams = Object.values(services).reduce((sum, service) => sum + service.upstreams, 0);
    const rate = teams.reduce((sum, { requestsPerSecond = 0 }) => sum + requestsPerSecond, 0);
    if (upstreams === 0 || rate <= upstreams * maxRatePerUpstream) return [];
    const message = `the rates of all teams together, ${rate} requests per second, are above ${maxRatePerUpstream} for each of the ${upstreams} upstreams`;
    return [{ code: 'rates_above_upstreams', path: ['teams'], message }];
  }
}
