/** Messages of the rollouts module between the members of a replica group. */

/** A message of this module. */
export type RolloutMessage = {
  /** The sender drives these steps; sent to the other members of each step's group. */
  readonly kind: 'steps-driven';
  /** Keys of step records. */
  readonly steps: readonly string[];
};
