/** Loads `src/node.ts` on demand, when a node is started. */
import type { Settings } from '../settings/settings.js';

/** A program that runs one node. */
export interface NodeProgram {
  /** Runs the node until it is stopped; resolves to the exit code of the process. */
  startNode(settings: Settings): Promise<number>;
}

/** A variable instead of a literal, so that the compiler does not resolve the module. */
const NODE_MODULE: string = '../node.js';

export async function loadNodeProgram(): Promise<NodeProgram> {
  return (await import(NODE_MODULE)) as NodeProgram;
}
