/** The lab's command `days`: plays our own days of trouble with the users' bench. */
import type { CommandFlags } from '../main.js';
import { runDays } from './run-days.js';

/** Runs the command; exits 1 where a rule was broken and 2 where it was called wrongly. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const { bench, site } = flags;
  if (typeof bench !== 'string' || typeof site !== 'string') {
    console.error('--bench PROGRAM and --site FILE are needed');
    return 2;
  }
  const only = typeof flags.only === 'string' ? flags.only : '';
  const why = typeof flags.why === 'string' ? flags.why : 'days of our own';
  let played = 0;
  const areAllKept = await runDays({ bench, site, only, why }, (outcome) => {
    played += 1;
    console.log(outcome.line);
  });
  console.log(JSON.stringify({ command: 'days', played, holds: areAllKept }));
  return areAllKept && played > 0 ? 0 : 1;
}
