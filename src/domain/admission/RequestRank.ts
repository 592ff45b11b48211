/** Urgency of a request when something is scarce; the priority of its team decides first. */
export default interface RequestRank {
  /** Priority of the team, 0 is the most urgent; that of the route if the team states none. */
  readonly team: number;
  /** Priority of the route, 0 is the most urgent; `Infinity` if none is stated. */
  readonly route: number;
}
