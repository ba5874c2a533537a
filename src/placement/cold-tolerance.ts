/** How far requests to a cold worker may exceed the rate of its `ColdStart` within one second. */
export interface ColdTolerance {
  /** Factor by which the rate is multiplied. */
  readonly factor: number;
  /** Requests added to the multiplied rate. */
  readonly requests: number;
}
