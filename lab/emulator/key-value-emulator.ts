/**
 * Emulated key-value service over HTTP: the subset of the etcd v3 JSON gateway that wardwing
 * uses, with faults set by `POST /lab/faults`.
 */
import type http from 'node:http';
import { createRandomSource } from '../../src/core/random.js';
import type { KeyValueOperation } from '../../src/platform/key-value.js';
import { decodeText, encodeText } from '../../src/platform/key-value-wire-client.js';
import {
  type RouteHandler,
  type RunningServer,
  readBody,
  sendJson,
  startServer,
} from './http-server.js';
import { KeyValueCore } from './key-value-core.js';
import {
  changedFaults,
  decodeRange,
  decodeTransaction,
  type KeyValueFaults,
  leaseRequest,
  NO_FAULTS,
  putRequest,
  rangeRequest,
  transactionRequest,
} from './key-value-requests.js';
import { WatchServer } from './key-value-watch-server.js';
import { LeaseTable } from './lease-table.js';

/** How often leases are checked. */
const LEASE_CHECK_INTERVAL_MILLISECONDS = 100;

/** Answers a body with a result; `writes` where an answer may get lost after it took effect. */
type Operation = (body: unknown) => { readonly answer: object; readonly writes: boolean };

/** Options of {@link startKeyValueEmulator}. */
export interface KeyValueEmulatorOptions {
  /** Loopback port; 0 for any free one. */
  readonly port: number;
  /** Seed of the faults. Default 1. */
  readonly seed?: number;
}

/** Starts the service. */
export async function startKeyValueEmulator(
  options: KeyValueEmulatorOptions,
): Promise<RunningServer> {
  const emulator = new KeyValueEmulator(options.seed ?? 1);
  const server = await startServer(emulator.routes(), options.port);
  const timer = setInterval(() => emulator.expireLeases(), LEASE_CHECK_INTERVAL_MILLISECONDS);
  const close = (): Promise<void> => {
    clearInterval(timer);
    return server.close();
  };
  return { address: server.address, close };
}

class KeyValueEmulator {
  private readonly core = new KeyValueCore();
  private readonly leases = new LeaseTable(this.core);
  private readonly watches = new WatchServer(this.core);
  private readonly random;
  private faults: KeyValueFaults = NO_FAULTS;
  /** Tokens of the rate limit, and when they were last topped up. */
  private allowance = { tokens: 0, at: 0 };

  constructor(seed: number) {
    this.random = createRandomSource(seed);
  }

  routes(): Record<string, RouteHandler> {
    return {
      'POST /v3/kv/range': this.operation((body) => this.range(body)),
      'POST /v3/kv/put': this.operation((body) => this.put(body)),
      'POST /v3/kv/deleterange': this.operation((body) => this.deleteRange(body)),
      'POST /v3/kv/txn': this.operation((body) => this.transaction(body)),
      'POST /v3/lease/grant': this.operation((body) => this.grant(body)),
      'POST /v3/lease/revoke': this.operation((body) => this.revoke(body)),
      'POST /v3/lease/keepalive': this.operation((body) => this.keepAlive(body)),
      'POST /v3/watch': (request, response) => {
        if (this.refused(response)) return;
        this.watches.accept(request, response);
      },
      'POST /lab/faults': async (request, response) => {
        this.setFaults(changedFaults(this.faults, await readBody(request)));
        sendJson(response, 200, this.faults);
      },
    };
  }

  expireLeases(): void {
    if (this.leases.expire(performance.now()) > 0) this.watches.sendChanges();
  }

  private setFaults(faults: KeyValueFaults): void {
    this.faults = faults;
    this.allowance = { tokens: faults.rateLimitPerSecond ?? 0, at: performance.now() };
    this.watches.sending = faults.outage === 'none';
    if (faults.outage === 'refuse') this.watches.breakAll();
    this.watches.sendChanges();
  }

  /** Answers or ignores a request that a fault keeps from being carried out. */
  private refused(response: http.ServerResponse): boolean {
    if (this.faults.outage === 'hang') return true;
    if (this.faults.outage === 'refuse') {
      sendJson(response, 503, { error: 'unavailable', code: 14 });
      return true;
    }
    if (this.withinRate()) return false;
    sendJson(response, 429, { error: 'too many requests', code: 8 }, { 'retry-after': '1' });
    return true;
  }

  private withinRate(): boolean {
    const limit = this.faults.rateLimitPerSecond;
    if (limit === null) return true;
    const now = performance.now();
    const { tokens, at } = this.allowance;
    const available = Math.min(limit, tokens + ((now - at) / 1_000) * limit);
    const allowed = available >= 1;
    this.allowance = { tokens: allowed ? available - 1 : available, at: now };
    return allowed;
  }

  private operation(perform: Operation): RouteHandler {
    return async (request, response) => {
      const body = await readBody(request);
      if (this.refused(response)) return;
      const { answer, writes } = perform(body);
      if (writes) this.watches.sendChanges();
      const { slownessMilliseconds, lostAnswerRate } = this.faults;
      const loses = writes && this.random.fraction() < lostAnswerRate;
      const send = (): void => {
        if (loses) response.destroy();
        else sendJson(response, 200, { header: this.header(), ...answer });
      };
      if (slownessMilliseconds > 0) setTimeout(send, slownessMilliseconds);
      else send();
    };
  }

  private header(): object {
    return { revision: String(this.core.revision) };
  }

  private range(body: unknown): ReturnType<Operation> {
    const result = this.core.perform({ kind: 'range', ...decodeRange(rangeRequest.parse(body)) });
    const entries = result.kind === 'range' ? result.entries : [];
    const kvs = entries.map((entry) => ({
      key: encodeText(entry.key),
      value: encodeText(entry.value),
      mod_revision: String(entry.modRevision),
    }));
    const answer = kvs.length > 0 ? { kvs, count: String(kvs.length) } : {};
    return { answer, writes: false };
  }

  private put(body: unknown): ReturnType<Operation> {
    const put = putRequest.parse(body);
    const key = decodeText(put.key);
    if (put.lease !== '0' && !this.leases.attach(put.lease, key)) {
      throw new RangeError('requested lease not found');
    }
    this.write([{ kind: 'put', key, value: decodeText(put.value) }]);
    return { answer: {}, writes: true };
  }

  private deleteRange(body: unknown): ReturnType<Operation> {
    const found = this.core.perform({ kind: 'range', ...decodeRange(rangeRequest.parse(body)) });
    const entries = found.kind === 'range' ? found.entries : [];
    this.write(entries.map((entry) => ({ kind: 'delete', key: entry.key })));
    return { answer: { deleted: String(entries.length) }, writes: true };
  }

  private write(writes: Extract<KeyValueOperation, { kind: 'transaction' }>['writes']): void {
    this.core.perform({ kind: 'transaction', compares: [], writes });
  }

  private transaction(body: unknown): ReturnType<Operation> {
    const operation = decodeTransaction(transactionRequest.parse(body));
    const result = this.core.perform(operation);
    const succeeded = result.kind === 'transaction' && result.succeeded;
    return { answer: succeeded ? { succeeded } : {}, writes: operation.writes.length > 0 };
  }

  private grant(body: unknown): ReturnType<Operation> {
    const { ID: wanted, TTL: seconds } = leaseRequest.parse(body);
    const id = this.leases.grant(seconds * 1_000, performance.now(), wanted);
    return { answer: { ID: id, TTL: String(seconds) }, writes: true };
  }

  private revoke(body: unknown): ReturnType<Operation> {
    const known = this.leases.revoke(leaseRequest.parse(body).ID);
    if (!known) throw new RangeError('requested lease not found');
    return { answer: {}, writes: true };
  }

  private keepAlive(body: unknown): ReturnType<Operation> {
    const { ID: id } = leaseRequest.parse(body);
    const seconds = this.leases.keepAlive(id, performance.now()) / 1_000;
    return { answer: { result: { ID: id, TTL: String(seconds) } }, writes: false };
  }
}
