/** `wardwing node`: runs a node until it is stopped. */
import { SETTINGS_FLAGS } from '../settings/flags.js';
import { loadSettings } from '../settings/load-settings.js';
import { type Command, flagText, reportProblems, valueFlag } from './command.js';
import type { ExitCode } from './exit-codes.js';
import { loadNodeProgram, type NodeProgram } from './node-program.js';

/** Creates the command; tests replace the program. */
export function nodeCommand(load: () => Promise<NodeProgram> = loadNodeProgram): Command {
  return {
    words: 'node',
    parameters: [],
    summary: 'Run one node. SIGTERM stops it after running requests have finished or migrated',
    flags: [
      valueFlag('settings', 'The settings file (required)'),
      ...SETTINGS_FLAGS.map((entry) => valueFlag(entry.flag, entry.help)),
    ],
    examples: [
      'node --settings hall-a-1.toml',
      'node --settings zone.toml --name hall-a-2 --listen 127.0.0.1:7410 --peer-listen 127.0.0.1:7411',
    ],
    async run({ flags, terminal }): Promise<ExitCode> {
      const file = flagText(flags, 'settings');
      if (file === undefined) {
        const accepted = 'the path of a settings file';
        const problem = { key: '--settings', reason: 'this flag is missing', accepted };
        return reportProblems(terminal, [problem]);
      }
      const settings = loadSettings(file, flags, terminal.environment);
      if (settings.isErr) return reportProblems(terminal, settings.error);
      const program = await load();
      return (await program.startNode(settings.value)) as ExitCode;
    },
  };
}
