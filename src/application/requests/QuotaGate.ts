import type { QuotaDecision } from '../teams/TeamQuotas.ts';
import type TeamQuotas from '../teams/TeamQuotas.ts';
import type CallerRequest from './CallerRequest.ts';
import type RequestGate from './RequestGate.ts';
import type { GateDecision } from './RequestGate.ts';

/** Options of the gate. */
export interface QuotaGateOptions {
  readonly quotas: TeamQuotas;
}

function describeInputs(decision: QuotaDecision): Readonly<Record<string, number>> {
  const { credit, chance, part, assumed, hosts, requestsPerSecond, burst, retryAt } = decision;
  const round = (value: number): number => Math.round(1000 * value) / 1000;
  return {
    ...{ credit: round(credit), chance: round(chance), part: round(part), hosts },
    ...{ assumed: round(assumed), requestsPerSecond, burst, retryAt: Math.round(retryAt) },
  };
}

/** Refuses the requests of a team that exceed its quota. */
export default class QuotaGate implements RequestGate {
  readonly name = 'quota';

  private readonly options: QuotaGateOptions;

  constructor(options: QuotaGateOptions) {
    this.options = options;
  }

  decideAdmission({ identity, method, target }: CallerRequest): GateDecision {
    if (identity.kind !== 'team') return { kind: 'admitted' };
    const { name } = identity.team;
    const decision = this.options.quotas.admitRequest(name);
    if (!decision) return { kind: 'admitted' };
    if (decision.isAdmitted) {
      const endAdmission = (mayHaveRun: boolean): void => {
        if (!mayHaveRun) decision.releaseRequest();
      };
      return { kind: 'admitted', endAdmission };
    }
    const { requestsPerSecond, burst, retryAt } = decision;
    const message = `${method} ${target}: the quota of team "${name}" is used up: expected at most ${requestsPerSecond} requests per second and ${burst} at once`;
    return {
      kind: 'refused',
      failure: { kind: 'quota_exceeded', message, retryAt },
      inputs: describeInputs(decision),
    };
  }
}
