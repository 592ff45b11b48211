/** A time-bounded ejection, during which hosts send the upstream no new requests. */
export interface Ejection {
  readonly upstream: string;
  /** Incarnation of the upstream; the ejection does not apply after the upstream restarts. */
  readonly incarnation: number;
  /** Orders ejections when the floor allows only some; higher is worse. */
  readonly severity: number;
  /** Instant from which hosts ignore the ejection unless it was renewed. */
  readonly deadline: number;
  /** Instant until which the coordinator intends to renew the ejection. */
  readonly heldUntil: number;
  /** Number of earlier ejections that count towards the length of this one. */
  readonly repeats: number;
}

/** A period after an ejection in which the upstream receives little traffic. */
export interface Probation {
  readonly upstream: string;
  readonly incarnation: number;
  readonly deadline: number;
  readonly repeats: number;
}

/**
 * The latest decision of a coordinator about a service. The record with the higher (incarnation,
 * sequence) is the newer one.
 */
export default interface EjectionRecord {
  readonly service: string;
  readonly judge: string;
  /** Incarnation of the coordinator's process. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly ejections: readonly Ejection[];
  readonly probations: readonly Probation[];
}
