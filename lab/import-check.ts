/**
 * Checks the direction of imports: `src/` never imports `lab/`, and decision modules import no
 * I/O; and that the spelling of the users' platform stays in its adapter, `platform/`, which in turn
 * repeats and chooses nothing. Run after a build; exits 1 and names each problem.
 */
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

/** Folders of `src/` whose modules decide and therefore do no I/O. */
const DECISION_FOLDERS = [
  'core',
  'errors',
  'intents',
  'membership',
  'config-feed',
  'machine-feed',
  'ledger',
  'routing',
  'weights',
  'rollouts',
  'dispatch',
  'requests',
  'retention',
  'access',
  'node',
];

/** Packages and built-in modules that decision modules may import. */
const ALLOWED_PACKAGES = ['node:crypto', 'murmurhash', 'pure-rand', 'true-myth', 'zod', 'devalue'];

/** Files that sit in a decision folder and yet do I/O, because they run the core as a process. */
const WIRING_FILES = ['src/node/effect-runner.ts', 'src/node/node-runner.ts'];

/** Spellings of the users' platform that only its adapter, `platform/`, may know. */
const PLATFORM_SPELLINGS =
  /x-wardwing-|\/wardwing\/(?:kv-|lots|items|report|order|readiness)|['"`]op\/(?:config|version|retire|evacuate)['"`/]|['"`]servers\/|status\/retire|tls_key|expected_revision/i;

/** What an adapter may not hold: repetition and choices belong to the product. */
const ADAPTER_DECISIONS = /setInterval\(|Math\.random\(|\bretry\(/;

/** The one file of the adapter that keeps an otherwise idle process alive. */
const ADAPTER_ENTRY = 'platform/main.ts';

const IMPORT_PATTERN = /(?:from|import)\s+'([^']+)'/g;

function sourceFiles(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => path.join(folder, name));
}

function isAllowedPackage(specifier: string): boolean {
  return ALLOWED_PACKAGES.some((name) => specifier === name || specifier.startsWith(`${name}/`));
}

function wrongImportsOf(file: string): string[] {
  const folder = path.relative('src', file).split(path.sep)[0] ?? '';
  const decides = DECISION_FOLDERS.includes(folder) && !WIRING_FILES.includes(file);
  const specifiers = [...readFileSync(file, 'utf8').matchAll(IMPORT_PATTERN)].map(
    (match) => match[1] ?? '',
  );
  return specifiers.filter((specifier) => {
    if (specifier.includes('/lab/')) return true;
    return decides && !specifier.startsWith('.') && !isAllowedPackage(specifier);
  });
}

/** Lines of a file that match a pattern, each with what is wrong about it. */
function matchingLines(file: string, pattern: RegExp, problem: string): string[] {
  return readFileSync(file, 'utf8')
    .split('\n')
    .flatMap((line, index) => (pattern.test(line) ? [`${file}:${index + 1} ${problem}`] : []));
}

const problems = [
  ...sourceFiles('src').flatMap((file) =>
    wrongImportsOf(file).map((specifier) => `${file} must not import ${specifier}`),
  ),
  ...sourceFiles('src').flatMap((file) =>
    matchingLines(file, PLATFORM_SPELLINGS, "uses the platform's spelling"),
  ),
  ...sourceFiles('platform')
    .filter((file) => file !== ADAPTER_ENTRY)
    .flatMap((file) => matchingLines(file, ADAPTER_DECISIONS, 'decides in the adapter')),
];
for (const problem of problems) console.error(problem);
process.exitCode = problems.length === 0 ? 0 : 1;
