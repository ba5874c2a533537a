/**
 * Which build's programs a soak runs: this one's, or in turn this one's and another's, so that nodes
 * of both work together and what one leaves is taken up by the other, both ways.
 */
import path from 'node:path';

/** Programs of a build, in the folder that it is compiled to. */
export const PROGRAMS = {
  /** What the platform starts. */
  node: 'platform/main.js',
  /** The same on a machine whose steady clock stands still with it. */
  suspendableNode: 'lab/soak/suspended-gateway.js',
} as const;

/** The compiled programs of this build. */
const OWN_PROGRAMS = path.join(import.meta.dirname, '..', '..');

/** Folder of the compiled programs within a built tree. */
const COMPILED = 'dist';

/** Chooses the build of each start. */
export class BuildRotation {
  private readonly builds: readonly string[];
  /** Turn of the next start, by the name of the process. */
  private readonly turns = new Map<string, number>();

  /** `otherBuild` is a built tree of another commit. */
  constructor(otherBuild: string | undefined) {
    const others = otherBuild === undefined ? [] : [path.resolve(otherBuild, COMPILED)];
    this.builds = [OWN_PROGRAMS, ...others];
  }

  /** The script for the next start of a process; one that starts again is of the next build. */
  scriptFor(name: string, program: keyof typeof PROGRAMS): string {
    const turn = this.turns.get(name) ?? this.turns.size;
    this.turns.set(name, turn + 1);
    return path.join(this.builds[turn % this.builds.length] ?? OWN_PROGRAMS, PROGRAMS[program]);
  }
}
