import type Failure from '../../domain/errors/Failure.ts';
import type Log from '../../ports/Log.ts';
import type CallerRequest from './CallerRequest.ts';
import type RequestGate from './RequestGate.ts';
import type { EndAdmission, GateDecision } from './RequestGate.ts';
import getPriority from './getPriority.ts';

/** Options of the chain. */
export interface GateChainOptions {
  /** In the order in which a request passes them. */
  readonly gates: readonly RequestGate[];
  readonly log: Log;
}

/** What all gates together decide about one request. */
export type ChainDecision =
  | { readonly kind: 'admitted'; readonly endAdmission: EndAdmission }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** Asks gates one after the other; the first that refuses a request decides. */
export default class GateChain {
  private readonly options: GateChainOptions;

  constructor(options: GateChainOptions) {
    this.options = options;
  }

  /** Decides in one synchronous step. What earlier gates took is given back after a refusal. */
  admitRequest(request: CallerRequest): ChainDecision {
    const ends: EndAdmission[] = [];
    const endAdmission: EndAdmission = (mayHaveRun) => ends.forEach((end) => end(mayHaveRun));
    let refused: Extract<GateDecision, { kind: 'refused' }> | undefined;
    this.options.gates.every((gate) => {
      const decision = gate.decideAdmission(request);
      if (decision.kind === 'refused') {
        this.recordRefusal(request, gate, decision);
        refused = decision;
        return false;
      }
      if (decision.endAdmission) ends.push(decision.endAdmission);
      return true;
    });
    if (!refused) return { kind: 'admitted', endAdmission };
    endAdmission(false);
    return { kind: 'refused', failure: refused.failure };
  }

  private recordRefusal(
    request: CallerRequest,
    gate: RequestGate,
    { failure, inputs }: Extract<GateDecision, { kind: 'refused' }>,
  ): void {
    const { requestId, identity, route, deadline } = request;
    this.options.log.info('requests: a gate refused a request', {
      requestId,
      gate: gate.name,
      error: failure.kind,
      team: identity.kind === 'team' ? identity.team.name : undefined,
      service: route.service,
      priority: getPriority(request),
      deadline,
      ...inputs,
    });
  }
}
