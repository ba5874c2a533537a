/**
 * Checks the direction of imports: `src/` never imports `lab/`, and decision modules import no
 * I/O. Run after a build; exits 1 and names each wrong import.
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

const problems = sourceFiles('src').flatMap((file) =>
  wrongImportsOf(file).map((specifier) => `${file} must not import ${specifier}`),
);
for (const problem of problems) console.error(problem);
process.exitCode = problems.length === 0 ? 0 : 1;
