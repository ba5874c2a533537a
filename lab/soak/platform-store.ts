/**
 * The platform's store on a socket: the emulator of the shared store behind the calls of the
 * published protocol, with leases that run out by themselves. Each of its doors is an address of
 * its own, which may turn its callers away while the others are served.
 */
import type http from 'node:http';
import * as z from 'zod';
import { STORE } from '../../platform/names.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { StoreChange, StoreCommit, StoreItem } from '../../src/shared-store/shared-store.js';
import { SharedStoreEmulator } from '../emulator/shared-store-emulator.js';
import { LateCommits } from './late-commits.js';
import { type PartialRefusal, StoreDoor } from './store-door.js';

const ROW = z.object({ tls_key: z.string(), revision: z.number() });
const PUT = z.object({ tls_key: z.string(), value: z.string(), lease: z.number().default(0) });
const COMMIT = z.object({
  expected_revision: z.array(ROW).default([]),
  put: z.array(PUT).default([]),
  remove: z.array(z.string()).default([]),
});
const GRANT = z.object({ ttl_ms: z.number() });

/** An answer; `undefined` drops the connection without one, `unanswered` leaves it open. */
type Reply = { readonly status: number; readonly body: unknown } | 'unanswered' | undefined;

const UNAVAILABLE: Reply = { status: 503, body: {} };

/** The stand-in. */
export class PlatformStore {
  readonly emulator = new SharedStoreEmulator();
  /** Commits that came through doors with a `lateShare`. */
  readonly lateCommits: LateCommits;
  private readonly doors: StoreDoor[] = [];
  private readonly leases = new Map<number, { readonly ttl: number; timer: NodeJS.Timeout }>();

  constructor(random: RandomSource = createRandomSource(0)) {
    this.lateCommits = new LateCommits(this.emulator, random);
  }

  /** Opens a door; resolves when it listens. `noteKeptBack` is passed on to it. */
  async open(noteKeptBack?: (url: string, refusal: PartialRefusal) => void): Promise<StoreDoor> {
    const behind = {
      serve: (request: http.IncomingMessage, response: http.ServerResponse) =>
        void this.serve(door, request, response),
      revoke: (lease: number) => this.lapse(lease),
    };
    const door = new StoreDoor(behind, noteKeptBack);
    this.doors.push(door);
    await door.listen();
    return door;
  }

  /** Opens one door; resolves with its address. */
  async start(): Promise<string> {
    return (await this.open()).address;
  }

  /** Listens no more. */
  stop(): void {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    this.lateCommits.stop();
    for (const door of this.doors) door.close();
  }

  private async serve(
    door: StoreDoor,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const gone = new AbortController();
    response.once('close', () => gone.abort());
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    const reply = await this.answer(door, request, Buffer.concat(chunks).toString(), gone.signal);
    if (reply === 'unanswered' || door.keepsBack(request, response)) return;
    if (reply === undefined) request.socket.destroy();
    else {
      response.writeHead(reply.status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(reply.body));
    }
  }

  private answer(
    door: StoreDoor,
    request: http.IncomingMessage,
    body: string,
    gone: AbortSignal,
  ): Promise<Reply> | Reply {
    const url = new URL(request.url ?? '/', 'http://store');
    const query = (name: string): string => url.searchParams.get(name) ?? '';
    const { pathname } = url;
    if (pathname === STORE.key) return this.get(query('tls_key'));
    if (pathname === STORE.range) return this.range(query('path_prefix'), query('after_revision'));
    if (pathname === STORE.watch) {
      const after = Number(query('after_revision'));
      return this.watch(query('path_prefix'), after, Number(query('wait_ms')), gone);
    }
    if (pathname === STORE.commit) return this.commit(door, body);
    if (pathname === STORE.grant) return this.grant(door, body);
    if (pathname.startsWith(STORE.keep)) return this.keep(Number(pathname.split('/').at(-1)));
    if (pathname.startsWith(STORE.end)) return this.end(Number(pathname.split('/').at(-1)));
    return { status: 404, body: {} };
  }

  private async get(key: string): Promise<Reply> {
    const outcome = await this.emulator.get(key);
    if (outcome.kind === 'failed') return UNAVAILABLE;
    if (outcome.item === undefined) return { status: 404, body: {} };
    return { status: 200, body: wireItem(outcome.item) };
  }

  private async range(prefix: string, after: string): Promise<Reply> {
    const outcome = await this.emulator.range(prefix, after);
    if (outcome.kind === 'failed') return UNAVAILABLE;
    const requests = outcome.items.map(wireItem);
    return { status: 200, body: { requests, more: false, at: outcome.revision } };
  }

  private async watch(
    prefix: string,
    after: number,
    wait: number,
    gone: AbortSignal,
  ): Promise<Reply> {
    const outcome = await this.emulator.watch(prefix, after, wait, gone);
    if (outcome.kind === 'failed') return undefined;
    if (outcome.kind === 'compacted') return { status: 410, body: {} };
    return { status: 200, body: { events: outcome.changes.map(wireChange), at: outcome.revision } };
  }

  private async commit(door: StoreDoor, body: string): Promise<Reply> {
    const commit = commitOf(body);
    if (this.lateCommits.takes(commit, door.lateShare)) return 'unanswered';
    const outcome = await this.emulator.commit(commit);
    if (outcome.kind === 'committed') return { status: 200, body: { revision: outcome.revision } };
    if (outcome.kind === 'conflict') return { status: 412, body: { requests: [] } };
    if (outcome.kind === 'lease-gone') return { status: 404, body: {} };
    return outcome.effect === 'not-done' ? UNAVAILABLE : undefined;
  }

  private async grant(door: StoreDoor, body: string): Promise<Reply> {
    const { ttl_ms: ttl } = GRANT.parse(JSON.parse(body));
    const outcome = await this.emulator.grantLease(ttl);
    if (outcome.kind === 'failed') return UNAVAILABLE;
    this.renew(outcome.lease, ttl);
    door.noteGranted(outcome.lease);
    return { status: 200, body: { lease: outcome.lease, ttl_ms: ttl } };
  }

  private async keep(lease: number): Promise<Reply> {
    const outcome = await this.emulator.renewLease(lease);
    if (outcome.kind === 'failed') return UNAVAILABLE;
    const known = this.leases.get(lease);
    if (outcome.kind === 'gone' || known === undefined) return { status: 404, body: {} };
    this.renew(lease, known.ttl);
    return { status: 200, body: { ttl_ms: known.ttl } };
  }

  private async end(lease: number): Promise<Reply> {
    await this.emulator.revokeLease(lease);
    return { status: 200, body: {} };
  }

  private renew(lease: number, ttl: number): void {
    clearTimeout(this.leases.get(lease)?.timer);
    const timer = setTimeout(() => this.lapse(lease), ttl);
    this.leases.set(lease, { ttl, timer });
  }

  private lapse(lease: number): void {
    clearTimeout(this.leases.get(lease)?.timer);
    this.leases.delete(lease);
    this.emulator.lapseLease(lease);
  }
}

function commitOf(body: string): StoreCommit {
  const { expected_revision, put, remove } = COMMIT.parse(JSON.parse(body));
  return {
    expected: expected_revision.map(({ tls_key: key, revision }) => ({ key, revision })),
    put: put.map(({ tls_key: key, value, lease }) => ({
      key,
      value: Buffer.from(value, 'base64').toString('utf8'),
      lease,
    })),
    remove,
  };
}

function encode(value: string): string {
  return Buffer.from(value, 'utf8').toString('base64');
}

function wireItem({ key, value, revision }: StoreItem): unknown {
  return { tls_key: key, value: encode(value), revision, made: revision, lease: 0 };
}

function wireChange({ key, value, revision }: StoreChange): unknown {
  if (value === undefined) return { tls_key: key, revision, gone: true };
  return { tls_key: key, value: encode(value), revision, made: revision, lease: 0 };
}
