/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: items with revisions, conditional
 * commits, ranges, watches and leases, over HTTP/1.1 with JSON bodies.
 */
import http from 'node:http';

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const MAX_ENTRIES = 32;

const encode = (text) => Buffer.from(text, 'utf8').toString('base64');
const decode = (text) => Buffer.from(text, 'base64').toString('utf8');
const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class PlatformStore {
  /** Called after each commit by a node, with the keys and decoded values that it wrote. */
  onCommit = () => {};
  #items = new Map();
  #events = [];
  #revision = 1;
  #leases = new Map();
  #nextLease = 77_000;
  #waiting = new Set();
  #server = http.createServer((request, response) => void this.#serve(request, response));

  async start(host = '127.0.0.1') {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  stop() {
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes as the operator, a trainer or a worker does. */
  write(key, value) {
    this.#apply({
      expected_revision: [],
      put: [{ tls_key: key, value: encode(JSON.stringify(value)) }],
      remove: [],
    });
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const text = Buffer.concat(chunks).toString('utf8');
    const body = text === '' ? {} : JSON.parse(text);
    const url = new URL(request.url, 'http://store');
    await pause(ANSWER_MS);
    const [status, answer] = await this.#answer(url, body, response);
    if (response.destroyed) return;
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(answer));
  }

  #answer(url, body, response) {
    const query = (name) => url.searchParams.get(name) ?? '';
    const id = Number(url.pathname.split('/').at(-1));
    if (url.pathname === '/wardwing/kv-key') return this.#get(query('tls_key'));
    if (url.pathname === '/wardwing/kv-range')
      return this.#range(query('path_prefix'), query('after_revision'));
    if (url.pathname === '/wardwing/kv-watch') {
      return this.#watch(
        query('path_prefix'),
        Number(query('after_revision')),
        Number(query('wait_ms')),
        response,
      );
    }
    if (url.pathname === '/wardwing/kv-txn') return this.#commit(body);
    if (url.pathname === '/wardwing/kv-lease') return this.#grant(body.ttl_ms);
    if (url.pathname.startsWith('/wardwing/kv-keep/')) return this.#keep(id);
    if (url.pathname.startsWith('/wardwing/kv-lease-end/')) return this.#endLease(id);
    return [404, {}];
  }

  #get(key) {
    const item = this.#items.get(key);
    return item === undefined ? [404, {}] : [200, { tls_key: key, ...item, at: this.#revision }];
  }

  #range(prefix, after) {
    const keys = [...this.#items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const page = keys.slice(0, PAGE_ITEMS);
    const requests = page.map((key) => ({ tls_key: key, ...this.#items.get(key) }));
    return [200, { requests, more: keys.length > page.length, at: this.#revision }];
  }

  async #watch(prefix, after, wait, response) {
    const end = Date.now() + Math.min(wait, 30_000);
    for (;;) {
      const events = this.#events.filter(
        (event) => event.revision > after && event.tls_key.startsWith(prefix),
      );
      const left = end - Date.now();
      if (events.length > 0 || left <= 0 || response.destroyed)
        return [200, { events, at: this.#revision }];
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          response.off('close', wake);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.#waiting.add(wake);
        response.once('close', wake);
      });
    }
  }

  #commit(body) {
    const { expected_revision = [], put = [], remove = [] } = body;
    if (expected_revision.length + put.length + remove.length > MAX_ENTRIES) return [400, {}];
    const isMet = ({ tls_key, revision }) => (this.#items.get(tls_key)?.revision ?? 0) === revision;
    if (!expected_revision.every(isMet)) {
      const requests = expected_revision.map(({ tls_key }) => ({
        tls_key,
        ...(this.#items.get(tls_key) ?? { revision: 0 }),
      }));
      return [412, { requests }];
    }
    if (put.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return [404, {}];
    this.#apply({ put, remove });
    this.onCommit(put.map(({ tls_key, value }) => ({ key: tls_key, value: decode(value) })));
    return [200, { revision: this.#revision }];
  }

  #apply({ put = [], remove = [] }) {
    this.#revision += 1;
    const revision = this.#revision;
    for (const { tls_key, value, lease = 0 } of put) {
      const made = this.#items.get(tls_key)?.made ?? revision;
      const item = { value, revision, made, lease };
      this.#items.set(tls_key, item);
      this.#events.push({ tls_key, ...item });
    }
    for (const tls_key of remove) {
      if (this.#items.delete(tls_key)) this.#events.push({ tls_key, revision, gone: true });
    }
    for (const wake of [...this.#waiting]) wake();
  }

  #grant(ttl) {
    this.#nextLease += 1;
    this.#leases.set(this.#nextLease, { ttl });
    this.#renew(this.#nextLease);
    return [200, { lease: this.#nextLease, ttl_ms: ttl }];
  }

  #keep(id) {
    if (!this.#leases.has(id)) return [404, {}];
    this.#renew(id);
    return [200, { ttl_ms: this.#leases.get(id).ttl }];
  }

  #endLease(id) {
    this.#lapse(id);
    return [200, {}];
  }

  #renew(id) {
    const lease = this.#leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#lapse(id), lease.ttl);
  }

  #lapse(id) {
    const lease = this.#leases.get(id);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    const keys = [...this.#items].filter(([, item]) => item.lease === id).map(([key]) => key);
    if (keys.length > 0) this.#apply({ remove: keys });
  }
}
