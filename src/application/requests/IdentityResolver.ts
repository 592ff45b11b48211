import type Result from '../../domain/errors/Result.ts';
import type Preset from '../../domain/presets/Preset.ts';
import type { RouteSettings, TeamSettings } from '../../domain/presets/Preset.ts';
import type CallerIdentity from '../../domain/teams/CallerIdentity.ts';
import TeamDirectory from '../../domain/teams/TeamDirectory.ts';
import type ActivePreset from './ActivePreset.ts';
import type RequestDialect from './RequestDialect.ts';
import type { Header } from './RequestDialect.ts';

/** Options of the resolver. */
export interface IdentityResolverOptions {
  readonly activePreset: ActivePreset;
  readonly dialect: RequestDialect;
}

/** The parts of a request that tell who sent it. */
export interface IdentifiedHead {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly Header[];
  readonly route: RouteSettings;
}

/** Determines which team of the active preset sent a request. */
export default class IdentityResolver {
  private readonly options: IdentityResolverOptions;

  private directory: TeamDirectory | undefined;

  /** Preset whose teams the directory has. */
  private preset: Preset | undefined;

  constructor(options: IdentityResolverOptions) {
    this.options = options;
  }

  /** Whether keys of teams can't be checked because this host may have missed a newer preset. */
  get isUncertain(): boolean {
    return this.hasTeams && (this.options.activePreset.mayBeOutdated ?? false);
  }

  /**
   * Fails with `team_key_unknown` if the route needs a key of a team and the request has none, and
   * with `host_not_ready` if the key can't be checked.
   */
  resolveIdentity({ method, target, headers, route }: IdentifiedHead): Result<CallerIdentity> {
    const directory = this.findDirectory();
    if (!directory) return { ok: true, value: { kind: 'unchecked' } };
    const key = this.options.dialect.findTeamKey(headers);
    if (key !== undefined && this.isUncertain) {
      const message = `${method} ${target}: this host was paused and has not confirmed the active preset since then`;
      return { ok: false, failure: { kind: 'host_not_ready', message } };
    }
    const team = this.findTeam(headers);
    if (team) return { ok: true, value: { kind: 'team', team } };
    if (route.isPublic) return { ok: true, value: { kind: 'anonymous' } };
    const detail =
      key === undefined
        ? 'has no key of a team, or several different ones'
        : 'has a key that no team holds';
    const message = `${method} ${target}: the request ${detail}`;
    return { ok: false, failure: { kind: 'team_key_unknown', message } };
  }

  /** Whether the active preset has teams. */
  get hasTeams(): boolean {
    return this.findDirectory() !== undefined;
  }

  /** Team whose key the headers have; undefined if there is none, or if the preset has no teams. */
  findTeam(headers: readonly Header[]): TeamSettings | undefined {
    const key = this.options.dialect.findTeamKey(headers);
    return key === undefined ? undefined : this.findDirectory()?.findTeam(key);
  }

  /** Teams of the active preset; undefined if it has none, so that no request needs a key. */
  private findDirectory(): TeamDirectory | undefined {
    const preset = this.options.activePreset.state?.preset;
    if (preset === this.preset) return this.directory;
    this.preset = preset;
    this.directory = preset?.teams && new TeamDirectory(preset.teams);
    return this.directory;
  }
}
