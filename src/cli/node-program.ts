/** The part of `src/node.ts` that the command line needs, loaded only when a node is started. */
import type { Settings } from '../settings/settings.js';

/** A program that runs one node. */
export interface NodeProgram {
  /** Runs the node until it is stopped; resolves with the exit code of the process. */
  startNode(settings: Settings): Promise<number>;
}

/** Kept out of the import statement, so that no other command loads the node. */
const NODE_MODULE: string = '../node.js';

/** Loads the node's program. */
export async function loadNodeProgram(): Promise<NodeProgram> {
  return (await import(NODE_MODULE)) as NodeProgram;
}
