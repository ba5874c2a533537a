/**
 * The way of one request: public routes, token, route, role, limits, body, schema, call.
 */
import type { ServerResponse } from 'node:http';
import { Result } from 'true-myth';
import type { Milliseconds } from '../core/units.js';
import {
  type ErrorKind,
  type Failure,
  failure,
  withUnknownExecution,
} from '../errors/error-kinds.js';
import { AccountRegistry } from './account-registry.js';
import { BodyReader } from './body-reader.js';
import type { CallHandler } from './call-handler.js';
import { type Exchange, runCall } from './call-runner.js';
import { isMarkedNotRepeatable } from './completion-schema.js';
import type { GatewayAccount, GatewayLimits } from './gateway-options.js';
import { GatewayCounters, type GatewayStats } from './gateway-stats.js';
import { answerHealth, HEALTH_PATHS } from './health-routes.js';
import { InFlightCalls } from './in-flight.js';
import { parseJson } from './request-check.js';
import { writeProblem } from './response-writer.js';
import { type Route, type RouteMatch, RouteTable } from './route-table.js';

/** A request whose account may use its route. */
interface AdmittedRequest extends RouteMatch {
  readonly account: GatewayAccount;
  readonly query: URLSearchParams;
}

/** Stands in for the host, which plays no part in routing. */
const BASE_URL = 'http://node';

/** Takes requests from the server to the node. */
export class RequestPipeline {
  readonly #limits: GatewayLimits;
  readonly #accounts: AccountRegistry;
  readonly #routes: RouteTable;
  readonly #handler: CallHandler;
  readonly #bodies: BodyReader;
  readonly #inFlight: InFlightCalls;
  readonly #counters = new GatewayCounters();
  #draining = false;

  constructor(
    limits: GatewayLimits,
    accounts: readonly GatewayAccount[],
    routes: readonly Route[],
    handler: CallHandler,
  ) {
    this.#limits = limits;
    this.#accounts = new AccountRegistry(accounts);
    this.#routes = new RouteTable(routes);
    this.#handler = handler;
    this.#bodies = new BodyReader(limits);
    this.#inFlight = new InFlightCalls(limits.maxInFlightPerAccount);
  }

  /** Handles one request; never throws or rejects. */
  handle(exchange: Exchange): void {
    exchange.request.on('error', () => undefined);
    exchange.response.on('error', () => undefined);
    this.#handle(exchange).catch(() => {
      this.#refuse(exchange, failure('internal', 'a fault while the request was handled'));
    });
  }

  /** Refuses new calls and resolves when the running ones have ended. */
  async drain(): Promise<void> {
    this.#draining = true;
    await this.#inFlight.idle();
  }

  /** Counts a failure that was answered elsewhere. */
  countFailure(kind: ErrorKind | undefined): void {
    if (kind !== undefined) this.#counters.countFailure(kind);
  }

  /** Counters since the start. */
  stats(): GatewayStats {
    return this.#counters.snapshot(this.#inFlight.total, this.#bodies.bytesTogether);
  }

  async #handle(exchange: Exchange): Promise<void> {
    const target = exchange.request.url ?? '/';
    if (!URL.canParse(target, BASE_URL)) {
      this.#refuse(exchange, failure('malformed_request', 'path: not valid'));
      return;
    }
    const url = new URL(target, BASE_URL);
    if (HEALTH_PATHS.includes(url.pathname)) {
      await answerHealth(url.pathname, exchange.response, this.#handler, this.#draining);
      return;
    }
    const admitted = this.#admit(exchange, url);
    if (admitted.isErr) {
      this.#refuse(exchange, admitted.error);
      return;
    }
    this.#counters.countRequest();
    try {
      await this.#run(exchange, admitted.value);
      await flushed(exchange.response, this.#limits.answerTimeout);
    } finally {
      this.#inFlight.leave(admitted.value.account.name);
    }
  }

  #admit({ request }: Exchange, url: URL): Result<AdmittedRequest, Failure> {
    const account = this.#accounts.find(request.headers.authorization);
    if (account === undefined) return Result.err(failure('unauthenticated', 'bearer token'));
    const match = this.#routes.find(request.method ?? '', url.pathname);
    if (match.isErr) return Result.err(match.error);
    const { route } = match.value;
    if (!route.roles.includes(account.role)) {
      return Result.err(failure('forbidden', `this path is for: ${route.roles.join(', ')}`));
    }
    if (this.#draining) return Result.err(failure('stopping', 'no new calls'));
    if (!this.#inFlight.enter(account.name)) {
      const limit = this.#limits.maxInFlightPerAccount;
      return Result.err(failure('rate_limited', `the limit is ${limit} calls under way`));
    }
    return Result.ok({ ...match.value, account, query: url.searchParams });
  }

  async #run(exchange: Exchange, admitted: AdmittedRequest): Promise<void> {
    const body = await this.#readBody(exchange, admitted.route);
    if (body.isErr) {
      if (body.error === 'gone') this.#counters.countCallerLeft();
      else this.#refuse(exchange, body.error);
      return;
    }
    const { headers } = exchange.request;
    const prepared = admitted.route.prepare({ ...admitted, headers, body: body.value });
    if (prepared.isErr) {
      this.#refuse(exchange, prepared.error);
      return;
    }
    const outcome = await runCall(this.#handler, this.#limits, prepared.value, exchange);
    this.#counters.countOutcome(outcome);
  }

  async #readBody(
    { request, response }: Exchange,
    route: Route,
  ): Promise<Result<unknown, Failure | 'gone'>> {
    if (route.method === 'GET') return Result.ok(undefined);
    const body = await this.#bodies.read(request, response, route.maxBodyBytes);
    return body.isErr ? Result.err(body.error) : parseJson(body.value);
  }

  #refuse({ request, response }: Exchange, value: Failure): void {
    this.#counters.countFailure(value.kind);
    const told = isMarkedNotRepeatable(request.headers) ? withUnknownExecution(value) : value;
    if (response.headersSent) response.destroy();
    else writeProblem(request, response, told, this.#limits.lingerTime);
  }
}

/**
 * Resolves when an answer was handed to the operating system or its reader has gone; a reader that
 * takes longer than `timeout` is cut off.
 */
function flushed(response: ServerResponse, timeout: Milliseconds): Promise<void> {
  if (response.writableFinished || response.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    const timer = setTimeout(() => response.destroy(), timeout);
    const finish = (): void => {
      clearTimeout(timer);
      resolve();
    };
    response.once('finish', finish).once('close', finish);
  });
}
