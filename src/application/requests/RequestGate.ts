import type Failure from '../../domain/errors/Failure.ts';
import type CallerRequest from './CallerRequest.ts';

/** Ends an admission; `mayHaveRun` is false only if it is certain that the request did not run. */
export type EndAdmission = (mayHaveRun: boolean) => void;

/** What a gate decides about one request. */
export type GateDecision =
  | { readonly kind: 'admitted'; readonly endAdmission?: EndAdmission }
  | {
      readonly kind: 'refused';
      readonly failure: Failure;
      /** What the decision is based on, for the log. */
      readonly inputs?: Readonly<Record<string, unknown>>;
    };

/** Decides whether a request may be dispatched now. */
export default interface RequestGate {
  /** Names the gate in the log. */
  readonly name: string;
  decideAdmission(request: CallerRequest): GateDecision;
}
