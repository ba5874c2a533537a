/** Reads names of mechanisms from command lines and traces. */
import { MECHANISM_NAMES, type MechanismName } from '../../src/node/mechanisms.js';

/** Whether a text names a mechanism. */
export function isMechanismName(name: string): name is MechanismName {
  return (MECHANISM_NAMES as readonly string[]).includes(name);
}
