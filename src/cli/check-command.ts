/** `wardwing check`: validates a settings file without starting a node. */
import { SETTINGS_FLAGS } from '../settings/flags.js';
import { loadSettings } from '../settings/load-settings.js';
import { type Command, reportProblems, switchFlag, valueFlag } from './command.js';
import { EXIT_CODES } from './exit-codes.js';

export const checkCommand: Command = {
  words: 'check',
  parameters: ['file'],
  summary: 'Check a settings file; exit code 0 when a node would start with it, else 2',
  flags: [
    ...SETTINGS_FLAGS.map((entry) => valueFlag(entry.flag, entry.help)),
    switchFlag('json', 'Print one line of JSON instead of text'),
  ],
  examples: ['check hall-a-1.toml', 'check zone.toml --name hall-a-2 --json'],
  async run({ parameters: [file = ''], flags, terminal }) {
    const settings = loadSettings(file, flags, terminal.environment);
    const problems = settings.isErr ? settings.error : [];
    const code = problems.length === 0 ? EXIT_CODES.ok : EXIT_CODES.badUsage;
    if (flags.json === true) {
      terminal.writeLine(JSON.stringify({ file, valid: settings.isOk, problems }));
      return code;
    }
    if (settings.isErr) return reportProblems(terminal, settings.error);
    const { name, zone } = settings.value.node;
    terminal.writeLine(`${file}: valid, node ${name} in zone ${zone}`);
    return code;
  },
};
