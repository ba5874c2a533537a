/**
 * Routes and how a request finds its route. A path pattern holds parameters as `:name`; a last
 * parameter written `:name*` takes the rest of the path, slashes included.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { Result } from 'true-myth';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { NodeCall } from '../node/calls.js';
import type { AnswerFormat } from './answer-format.js';
import type { AccountRole, GatewayAccount } from './gateway-options.js';

/** A request after authentication, with its body read. */
export interface RouteRequest {
  readonly account: GatewayAccount;
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  /** Parsed JSON; `undefined` for a GET. */
  readonly body: unknown;
}

/** A call for the node, and how its replies are answered. */
export interface PreparedCall {
  readonly call: NodeCall;
  /** When the call is due, on the node's clock. */
  readonly deadline: Milliseconds;
  readonly format: AnswerFormat;
}

/** One route. */
export interface Route {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly roles: readonly AccountRole[];
  readonly maxBodyBytes: number;
  prepare(request: RouteRequest): Result<PreparedCall, Failure>;
}

/** A route with the parameters of one path. */
export interface RouteMatch {
  readonly route: Route;
  readonly parameters: Readonly<Record<string, string>>;
}

interface CompiledRoute {
  readonly route: Route;
  readonly pattern: RegExp;
}

/** All routes that need a token. */
export class RouteTable {
  readonly #routes: readonly CompiledRoute[];

  constructor(routes: readonly Route[]) {
    this.#routes = routes.map((route) => ({ route, pattern: compile(route.path) }));
  }

  /** The route of a request, `not_found`, or `method_not_allowed` naming the methods. */
  find(method: string, path: string): Result<RouteMatch, Failure> {
    const candidates = this.#routes.filter(({ pattern }) => pattern.test(path));
    const found = candidates.find(({ route }) => route.method === method);
    if (found !== undefined) return parametersOf(found, path);
    if (candidates.length === 0) return Result.err(failure('not_found', 'no such path'));
    const methods = candidates.map(({ route }) => route.method).join(', ');
    return Result.err(failure('method_not_allowed', `the path takes ${methods}`));
  }
}

function compile(path: string): RegExp {
  const parts = path.split('/').map((part) => {
    if (!part.startsWith(':')) return part;
    return part.endsWith('*') ? `(?<${part.slice(1, -1)}>.+)` : `(?<${part.slice(1)}>[^/]+)`;
  });
  return new RegExp(`^${parts.join('/')}$`);
}

function parametersOf(found: CompiledRoute, path: string): Result<RouteMatch, Failure> {
  const groups = found.pattern.exec(path)?.groups ?? {};
  try {
    const decoded = Object.entries(groups).map(([name, text]) => [name, decodeURIComponent(text)]);
    return Result.ok({ route: found.route, parameters: Object.fromEntries(decoded) });
  } catch {
    return Result.err(failure('malformed_request', 'path: not percent-encoded UTF-8'));
  }
}
