import type Preset from '../Preset.ts';
import type Finding from './Finding.ts';
import { findingSeverities } from './Finding.ts';
import type { FindingCode, FindingSeverity } from './Finding.ts';
import type KeyNames from './KeyNames.ts';
import { formatKeyPath } from './KeyNames.ts';
import type PresetRule from './PresetRule.ts';

/** A finding with its severity and with the key path of the checked file. */
export interface ReportedFinding {
  readonly severity: FindingSeverity;
  readonly code: FindingCode;
  readonly key: string;
  readonly message: string;
}

/** Options of the check. */
export interface PresetCheckOptions {
  readonly rules: readonly PresetRule[];
  /** Keys of the file from which the preset was read. */
  readonly keyNames: KeyNames;
}

const severityOrder: readonly FindingSeverity[] = ['error', 'warning', 'note'];

/** Checks a preset with all rules and orders the findings by severity. */
export default class PresetCheck {
  private readonly options: PresetCheckOptions;

  constructor(options: PresetCheckOptions) {
    this.options = options;
  }

  listFindings(preset: Preset): readonly ReportedFinding[] {
    const { rules } = this.options;
    const found = rules
      .flatMap((rule) => rule.listFindings(preset))
      .map((finding) => this.createReported(finding));
    // A key with an error has one finding: the specific error, or else the refused value.
    const errors = found.filter(({ severity }) => severity === 'error');
    const specific = new Set(
      errors.filter(({ code }) => code !== 'value_invalid').map(({ key }) => key),
    );
    const refused = new Set(errors.map(({ key }) => key));
    const isReported = ({ severity, code, key }: ReportedFinding): boolean => {
      if (code === 'value_invalid') return !specific.has(key);
      return severity !== 'warning' || !refused.has(key);
    };
    const reported = found.filter(isReported);
    return severityOrder.flatMap((severity) =>
      reported.filter((finding) => finding.severity === severity),
    );
  }

  private createReported({ code, path, message }: Finding): ReportedFinding {
    const key = formatKeyPath(path, this.options.keyNames);
    return { severity: findingSeverities[code], code, key, message };
  }
}
