import type InvalidValue from '../InvalidValue.ts';
import type Preset from '../Preset.ts';
import type Finding from './Finding.ts';
import type PresetRule from './PresetRule.ts';

/** Options of the rule. */
export interface ValuesRuleOptions {
  /** Lists the values that a control host refuses, with the keys of the file. */
  readonly listInvalidValues: (preset: Preset) => readonly InvalidValue[];
}

/** Reports the values for which control hosts refuse a preset. */
export default class ValuesRule implements PresetRule {
  private readonly options: ValuesRuleOptions;

  constructor(options: ValuesRuleOptions) {
    this.options = options;
  }

  listFindings(preset: Preset): readonly Finding[] {
    const floors = Object.entries(preset.services)
      .filter(([, { floor, upstreams }]) => floor > upstreams)
      .map(([name, { floor, upstreams }]) => ({
        code: 'floor_above_upstreams' as const,
        path: ['services', name, 'floor'],
        message: `the floor ${floor} is above the ${upstreams} upstreams of the service`,
      }));
    const values = this.options.listInvalidValues(preset).map(({ key, value, expected }) => ({
      code: 'value_invalid' as const,
      path: [key],
      message: `value ${JSON.stringify(value)}: ${expected}`,
    }));
    return [...floors, ...values];
  }
}
