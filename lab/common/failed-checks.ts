/** Finds the failed checks in TAP output, so that they can be printed where a reader looks first: at the end. */

/** One failed check with the tests that contain it, outermost first, and its diagnostic lines. */
export interface FailedCheck {
  readonly path: readonly string[];
  readonly name: string;
  readonly diagnostic: readonly string[];
}

const SUBTEST_PATTERN = /^( *)# Subtest: (.*)$/;
const FAILURE_PATTERN = /^( *)not ok \d+ - (.*?)(?: # time=.*)?$/;
/** A failed check whose directive says that it does not count. */
const DIRECTIVE_PATTERN = / # (?:TODO|SKIP)\b/i;

/** The width of one level of nesting in TAP 14. */
const INDENT = 4;

/**
 * @param output TAP 14 with subtests indented under their `# Subtest:` line.
 * @returns the failed checks in order, without the results of tests that only contain a failed one.
 */
export function failedChecks(output: string): FailedCheck[] {
  const lines = output.split('\n');
  const path: string[] = [];
  const failures: FailedCheck[] = [];
  for (const [index, line] of lines.entries()) {
    const subtest = SUBTEST_PATTERN.exec(line);
    if (subtest !== null) {
      path.length = level(subtest[1]);
      path.push(subtest[2] ?? '');
      continue;
    }
    const failure = FAILURE_PATTERN.exec(line);
    if (failure === null || DIRECTIVE_PATTERN.test(line)) continue;
    const depth = level(failure[1]);
    const name = failure[2] ?? '';
    const containing = [...path.slice(0, depth), name];
    if (failures.some(({ path: inner }) => startsWith(inner, containing))) continue;
    failures.push({
      path: path.slice(0, depth),
      name,
      diagnostic: diagnosticAfter(lines, index, failure[1] ?? ''),
    });
  }
  return failures;
}

/** The failed check as lines for people, at most `mostLines` of its diagnostic among them. */
export function describeFailure(failure: FailedCheck, mostLines: number): string[] {
  return [
    `failed: ${[...failure.path, failure.name].join(' > ')}`,
    ...failure.diagnostic.slice(0, mostLines).map((line) => `  ${line}`),
  ];
}

function level(indent: string | undefined): number {
  return Math.floor((indent?.length ?? 0) / INDENT);
}

function startsWith(path: readonly string[], start: readonly string[]): boolean {
  return start.every((name, index) => path[index] === name);
}

/** The lines between `---` and `...` after a result, without their indent. */
function diagnosticAfter(lines: readonly string[], index: number, indent: string): string[] {
  const margin = `${indent}  `;
  if (lines[index + 1] !== `${margin}---`) return [];
  const end = lines.indexOf(`${margin}...`, index);
  return lines.slice(index + 2, end < 0 ? undefined : end).map((line) => line.slice(margin.length));
}
