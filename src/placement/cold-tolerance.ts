/** What a cold worker may be sent in any second beyond the rate that its service says it bears. */
export interface ColdTolerance {
  /** Factor of the rate. */
  readonly factor: number;
  /** Requests beyond that. */
  readonly requests: number;
}
