/** How far requests to a cold worker may exceed the rate of its `ColdStart` within one second. */
export interface ColdTolerance {
  /** Multiplies the rate. */
  readonly factor: number;
  /** Added to the multiplied rate. */
  readonly requests: number;
}
