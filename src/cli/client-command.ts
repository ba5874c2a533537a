/** Shared by commands that send a request to a node: flags, client and error reports. */
import { Result } from 'true-myth';
import { readText } from '../settings/load-settings.js';
import type { SchemaProblem } from '../settings/schema-problems.js';
import {
  type CommandFlag,
  type CommandInput,
  flagText,
  reportProblems,
  switchFlag,
  valueFlag,
} from './command.js';
import { renderDocument } from './document-text.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { type ClientFailure, OperatorClient, type OperatorRequest } from './operator-client.js';

/** Environment variable with the token of the operator. */
const TOKEN_VARIABLE = 'WARDWING_TOKEN';

/** Flags of every command that sends a request to a node. */
export const CLIENT_FLAGS: readonly CommandFlag[] = [
  valueFlag('endpoint', 'ip:port of a node, any one of the fleet (required)'),
  valueFlag('token-file', `File with your token; otherwise ${TOKEN_VARIABLE} is read`),
  switchFlag('json', 'Print one line of JSON instead of text'),
];

/** Creates a client from the flags, or reports invalid flags. */
export function clientOf(input: CommandInput): Result<OperatorClient, readonly SchemaProblem[]> {
  return endpointOf(input).andThen((endpoint) =>
    tokenOf(input).map((token) => new OperatorClient({ ...endpoint, token })),
  );
}

/** Sends one request and prints the answer; `changes` marks requests that change state. */
export async function requestAndPrint(
  input: CommandInput,
  request: OperatorRequest,
  changes: boolean,
): Promise<ExitCode> {
  const client = clientOf(input);
  if (client.isErr) return reportProblems(input.terminal, client.error);
  const answer = await client.value.send(request);
  if (answer.isErr) return reportFailure(input, answer.error, changes);
  printDocument(input, answer.value);
  return EXIT_CODES.ok;
}

/** Prints a document as text or, with `--json`, as one line of JSON. */
export function printDocument(input: CommandInput, document: unknown): void {
  const text =
    input.flags.json === true ? JSON.stringify(document) : renderDocument(document).join('\n');
  input.terminal.writeLine(text);
}

/** Prints a failure and returns the exit code. */
export function reportFailure(
  input: CommandInput,
  failure: ClientFailure,
  changes: boolean,
): ExitCode {
  const code = exitCodeOf(failure, changes);
  if (input.flags.json === true) printDocument(input, { failure });
  else input.terminal.writeError(failureText(failure, code));
  return code;
}

function exitCodeOf(failure: ClientFailure, changes: boolean): ExitCode {
  if (failure.kind === 'unreachable') {
    return failure.mayBeReceived && changes ? EXIT_CODES.outcomeUnknown : EXIT_CODES.unreachable;
  }
  const unknown = failure.problem.ran === 'unknown' && changes;
  return unknown ? EXIT_CODES.outcomeUnknown : EXIT_CODES.failed;
}

function failureText(failure: ClientFailure, code: ExitCode): string {
  if (failure.kind === 'unreachable') {
    const effect =
      code === EXIT_CODES.outcomeUnknown
        ? 'the change may have taken effect; see "wardwing intent history"'
        : 'nothing was changed';
    return `The node did not answer (${failure.detail}); ${effect}.`;
  }
  const { kind, ran, detail, retry_after_ms: retryAfter } = failure.problem;
  const retryHint = retryAfter === null ? '' : `, try again in ${retryAfter} ms`;
  return `${kind}: ${detail} (ran: ${ran}${retryHint})`;
}

function endpointOf(
  input: CommandInput,
): Result<{ host: string; port: number }, readonly SchemaProblem[]> {
  const text = flagText(input.flags, 'endpoint');
  const match = /^(?:\[(.+)\]|([^:]+)):(\d{1,5})$/.exec(text ?? '');
  const host = match?.[1] ?? match?.[2];
  if (host !== undefined) return Result.ok({ host, port: Number(match?.[3]) });
  const reason = text === undefined ? 'this flag is missing' : `"${text}" is not an endpoint`;
  const accepted = 'ip:port of a node, e.g. 127.0.0.1:7400';
  return Result.err([{ key: '--endpoint', reason, accepted }]);
}

function tokenOf(input: CommandInput): Result<string, readonly SchemaProblem[]> {
  const file = flagText(input.flags, 'token-file');
  const accepted = `--token-file FILE, or the variable ${TOKEN_VARIABLE}`;
  const found: Result<string, readonly SchemaProblem[]> =
    file === undefined
      ? Result.ok(input.terminal.environment[TOKEN_VARIABLE] ?? '')
      : readText(file, accepted);
  return found.andThen((text) => {
    const token = text.trim();
    if (token !== '') return Result.ok<string, readonly SchemaProblem[]>(token);
    const problem = { key: '--token-file', reason: 'there is no token', accepted };
    return Result.err<string, readonly SchemaProblem[]>([problem]);
  });
}
