import type BurnReporter from '../../application/metrics/BurnReporter.ts';
import type PresetStatusReader from '../../application/operators/PresetStatusReader.ts';
import type ServiceListing from '../../application/operators/ServiceListing.ts';
import type TeamListing from '../../application/operators/TeamListing.ts';
import type UpstreamListing from '../../application/operators/UpstreamListing.ts';
import type PresetService from '../../application/presets/PresetService.ts';
import type Result from '../../domain/errors/Result.ts';
import type Clock from '../../ports/Clock.ts';
import { putPresetSchema, showPresetSchema, usePresetSchema } from './operatorMessages.ts';
import parseInput from './parseInput.ts';
import { procedure, router } from './trpcBase.ts';

// Longer than an election takes, shorter than the timeout of the command-line tool.
const answerTimeoutMs = 4000;

/** Options of the operators' procedures. */
export interface OperatorRouterOptions {
  readonly clock: Clock;
  readonly presets: PresetService;
  readonly status: PresetStatusReader;
  readonly upstreams: UpstreamListing;
  readonly services: ServiceListing;
  readonly teams: TeamListing;
  readonly burn: Pick<BurnReporter, 'createReport'>;
}

const createSuccess = <Value>(value: Value): Result<Value> => ({ ok: true, value });

/** Creates the operators' procedures of a control host; expected errors are returned as data. */
export default function createOperatorRouter(options: OperatorRouterOptions) {
  const { clock, presets, status, upstreams, services, teams, burn } = options;
  const computeDeadline = (): number => clock.now() + answerTimeoutMs;
  const inputProcedure = procedure.input((input: unknown) => input);
  return router({
    preset: router({
      list: procedure.query(() => presets.listPresets(computeDeadline())),
      status: procedure.query(() => status.readStatus(computeDeadline())),
      show: inputProcedure.query(async ({ input }) => {
        const parsed = parseInput('preset.show', showPresetSchema, input);
        return parsed.ok ? presets.showPreset(parsed.value.name, computeDeadline()) : parsed;
      }),
      put: inputProcedure.mutation(async ({ input, ctx }) => {
        const change = parseInput('preset.put', putPresetSchema, input);
        if (!change.ok) return change;
        const { callerName: operator } = ctx;
        return presets.putPreset({ ...change.value, operator }, computeDeadline());
      }),
      use: inputProcedure.mutation(async ({ input, ctx }) => {
        const change = parseInput('preset.use', usePresetSchema, input);
        if (!change.ok) return change;
        const { callerName: operator } = ctx;
        return presets.usePreset({ ...change.value, operator }, computeDeadline());
      }),
    }),
    upstream: router({ list: procedure.query(() => createSuccess(upstreams.listUpstreams())) }),
    service: router({ list: procedure.query(() => createSuccess(services.listServices())) }),
    team: router({ list: procedure.query(async () => createSuccess(await teams.listTeams())) }),
    report: router({ burn: procedure.query(async () => createSuccess(await burn.createReport())) }),
  });
}
