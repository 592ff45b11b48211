/** A lease during which hosts send an upstream no new requests. */
export interface Ejection {
  readonly upstream: string;
  /** Incarnation of the upstream; a restarted one is not meant. */
  readonly incarnation: number;
  /** Orders ejections where the floor allows only some; higher is worse. */
  readonly severity: number;
  /** Instant from which hosts ignore the ejection unless it was renewed. */
  readonly deadline: number;
  /** Instant until which the coordinator means to renew it. */
  readonly heldUntil: number;
  /** Number of earlier ejections that count towards the length of this one. */
  readonly repeats: number;
}

/** A time after an ejection in which an upstream receives little traffic. */
export interface Probation {
  readonly upstream: string;
  readonly incarnation: number;
  readonly deadline: number;
  readonly repeats: number;
}

/** What a coordinator decided last about a service. Newer is the higher (incarnation, sequence). */
export default interface EjectionRecord {
  readonly service: string;
  readonly judge: string;
  /** Incarnation of the coordinator's process. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly ejections: readonly Ejection[];
  readonly probations: readonly Probation[];
}
