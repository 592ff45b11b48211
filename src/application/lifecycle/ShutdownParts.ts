/** Determines what `/ready` answers. */
export interface ReadinessSwitch {
  /**
   * Marks the host as not ready, so that the platform's load balancer takes it out of rotation.
   * Returns the deadline by which every request has to be answered; `Infinity` if there is none.
   */
  markStopping(): number;
}

/** A listener that can close without interrupting a request. */
export interface StoppableListener {
  /** Time at which the newest connection was accepted; `-Infinity` before the first one. */
  readonly lastConnectionAt: number;
  /** Makes all further answers ask the caller to close its connection. */
  startClose(): void;
  /**
   * Accepts no new connections and resolves when every open request is answered, or shortly after
   * the deadline.
   */
  closeListener(deadline: number): Promise<void>;
}

/** The part of the claim gate that a stop needs. */
export interface ClaimCompletions {
  /** Resolves when all completions are recorded, or at the deadline. */
  waitIdle(deadline: number): Promise<void>;
}

/** Publishes and withdraws the record of this host. */
export interface HostRecordOwner {
  /** Announces to the peers that this host is stopping. */
  announceStopping(): Promise<void>;
  /** Withdraws the host record. */
  removeRecord(): Promise<void>;
}
