/**
 * Entry point of the lab's program: demo, emulators, proofs, benches and replay. A bench or proof
 * is a module of its own that exports `run`; names are fixed lists, as scripts rely on them.
 */
import sade from 'sade';

/** Benches by name; each lives in `lab/bench/NAME.ts`. */
export const BENCH_NAMES = [
  'association',
  'cooperative',
  'routing',
  'ledger',
  'membership',
  'config-feed',
  'machine-feed',
  'node',
  'storage',
  'weights-activation',
  'letter-steps',
  'resume',
  'quarantine',
] as const;

/** Flags a command was given, as sade parsed them. */
export type CommandFlags = Readonly<Record<string, string | number | boolean | undefined>>;

/** A lab command: prints its result, the last line being JSON, and returns the exit code. */
export interface LabCommand {
  run(name: string, flags: CommandFlags): Promise<number>;
}

async function runModule(specifier: string, name: string, flags: CommandFlags): Promise<void> {
  const command = (await import(specifier)) as LabCommand;
  process.exitCode = await command.run(name, flags);
}

const program = sade('wardwing-lab');

program
  .command('demo', 'Run the whole system on loopback for about a minute')
  .action((flags: CommandFlags) => runModule('./demo/demo.js', 'demo', flags));

program
  .command('faults [scenario]', 'Run real processes under faults, all scenarios or one')
  .action((scenario: string | undefined, flags: CommandFlags) =>
    runModule('./faults/faults.js', scenario ?? '', flags),
  );

program
  .command('emulate <name>', 'Run one emulator: key-value, engine, weight-store, machine-list')
  .action((name: string, flags: CommandFlags) => runModule('./emulator/emulate.js', name, flags));

program
  .command('proof [name]', 'Prove one promise under seeded faults in simulated time')
  .action((name: string, flags: CommandFlags) => runModule('./proofs/proof.js', name ?? '', flags));

program
  .command('days', 'Play our own days of trouble with the bench of the users')
  .option('--bench', 'Its program')
  .option('--site', 'The file of a deployment')
  .option('--only', 'Only days whose names hold this text')
  .option('--why', 'What the run is for')
  .action((flags: CommandFlags) => runModule('./days/days.js', 'days', flags));

program
  .command('soak', 'Run real gateways under random faults from outside and check the promises')
  .option('--seed', 'Draws the faults; a fresh one where absent')
  .option('--gateways', 'Gateways of the fleet')
  .option('--seconds', 'How long', 60)
  .option('--keep', 'Keep the logs')
  .option('--other-build', 'A built tree of another commit; processes start with both in turn')
  .action((flags: CommandFlags) => runModule('./soak/soak.js', 'soak', flags));

program
  .command('replay <file>', 'Replay a recorded trace and compare its stated outcome')
  .action((file: string, flags: CommandFlags) => runModule('./replay/replay.js', file, flags));

program
  .command('bench <name>', `Measure: ${BENCH_NAMES.join(', ')}`)
  .action((name: string, flags: CommandFlags) => {
    if (!(BENCH_NAMES as readonly string[]).includes(name)) {
      console.error(`There is no bench "${name}"; known: ${BENCH_NAMES.join(', ')}`);
      process.exitCode = 2;
      return undefined;
    }
    return runModule(`./bench/${name}.js`, name, flags);
  });

program.parse(process.argv);
