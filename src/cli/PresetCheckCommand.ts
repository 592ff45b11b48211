import type Result from '../domain/errors/Result.ts';
import maxBufferedBytes from '../domain/memory/maxBufferedBytes.ts';
import type Preset from '../domain/presets/Preset.ts';
import ChangesRule from '../domain/presets/check/ChangesRule.ts';
import { findingSeverities } from '../domain/presets/check/Finding.ts';
import type { FindingSeverity } from '../domain/presets/check/Finding.ts';
import LimitsRule from '../domain/presets/check/LimitsRule.ts';
import PresetCheck from '../domain/presets/check/PresetCheck.ts';
import type { ReportedFinding } from '../domain/presets/check/PresetCheck.ts';
import UseRule from '../domain/presets/check/UseRule.ts';
import ValuesRule from '../domain/presets/check/ValuesRule.ts';
import { defaultQuotas } from '../domain/teams/computeCreditLimits.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import type PresetFormat from './PresetFormat.ts';
import exitCodes from './exitCodes.ts';
import formatTable from './formatTable.ts';

// Messages of files that can't be decoded name the first invalid key.
const keyPattern = /: key ([^\s:]+): /;

function createDocumentFinding(message: string): ReportedFinding {
  const key = keyPattern.exec(message)?.[1] ?? '';
  const code = 'document_invalid';
  return { severity: findingSeverities[code], code, key, message };
}

function countSeverity(findings: readonly ReportedFinding[], severity: FindingSeverity): number {
  return findings.filter((finding) => finding.severity === severity).length;
}

function createOutput(
  file: string,
  findings: readonly ReportedFinding[],
  comparison: 'not_asked' | 'compared' | 'none_active',
): CommandOutput {
  const counts = {
    errors: countSeverity(findings, 'error'),
    warnings: countSeverity(findings, 'warning'),
    notes: countSeverity(findings, 'note'),
  };
  const rows = findings.map(({ severity, code, key, message }) => [severity, code, key, message]);
  return {
    value: { file, ...counts, comparison, findings },
    text: formatTable(['SEVERITY', 'CODE', 'KEY', 'MESSAGE'], rows),
    notes: [
      `errors: ${counts.errors}, warnings: ${counts.warnings}, notes: ${counts.notes}`,
      ...(comparison === 'none_active' ? ['no preset is active'] : []),
    ],
    exitCode: counts.errors + counts.warnings > 0 ? exitCodes.findings : exitCodes.done,
  };
}

/** `preset check FILE` */
export default class PresetCheckCommand implements Command {
  readonly name = 'preset check';

  readonly positionals = ['FILE'];

  readonly options = [];

  readonly access: PresetFormat['access'];

  readonly help = [
    'Checks a preset file before it is put: what control hosts refuse (errors), entries that no',
    'request can use and limits that contradict each other (warnings), and, with --server, how it',
    'differs from the active preset (notes). Exits with 1 when there is an error or a warning.',
  ];

  private readonly format: PresetFormat;

  constructor({ format }: { readonly format: PresetFormat }) {
    this.format = format;
    this.access = format.access;
  }

  async runCommand(context: CommandContext): Promise<Result<CommandOutput>> {
    const { format } = this;
    const [file = ''] = context.positionals;
    const decoded = format.decodePreset(file, await context.readFile(file));
    if (!decoded.ok) {
      const finding = createDocumentFinding(decoded.failure.message);
      return { ok: true, value: createOutput(file, [finding], 'not_asked') };
    }
    if (context.servers.length === 0) {
      const findings = this.listFindings(decoded.value, undefined);
      return { ok: true, value: createOutput(file, findings, 'not_asked') };
    }
    const active = await format.readActive(context);
    if (!active.ok) return active;
    const findings = this.listFindings(decoded.value, active.value);
    const comparison = active.value ? 'compared' : 'none_active';
    return { ok: true, value: createOutput(file, findings, comparison) };
  }

  private listFindings(preset: Preset, active: Preset | undefined): readonly ReportedFinding[] {
    const { format } = this;
    const check = new PresetCheck({
      keyNames: format.keyNames,
      rules: [
        new ValuesRule({ listInvalidValues: (checked) => format.listInvalidValues(checked) }),
        new UseRule(),
        new LimitsRule({ maxBufferedBytes, windowMs: defaultQuotas.windowMs }),
        ...(active ? [new ChangesRule({ active })] : []),
      ],
    });
    return check.listFindings(preset);
  }
}
