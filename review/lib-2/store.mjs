/**
 * Stand-in of the platform's metadata store, after PROTOCOL.md: keys with revisions, leases, ranges,
 * watches and transactions. It loses nothing that it has acknowledged. Faults: `down` answers 503 at
 * its address, for all callers.
 */
import http from 'node:http';

const MAX_ENTRIES = 32;
const VALUE_BYTES = 1_048_576;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_048_576;
const HISTORY_MS = 20_000;

export class Store {
  items = new Map();
  revision = 1;
  history = [];
  leases = new Map();
  nextLease = 1;
  watchers = new Set();
  /** Whether the store answers 503 to every call. */
  down = false;
  /** Called with each refused transaction: `{ status, reason }`. */
  onRefused = () => {};
  droppedRevision = 0;

  async listen(host = '127.0.0.1') {
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('error', () => {});
      response.on('error', () => {});
      request.on('end', () => void this.serve(request, response, Buffer.concat(chunks)));
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    this.timer = setInterval(() => this.expire(), 50);
    return this.address;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Puts or removes keys outside of the protocol, as the operator and the workers do. */
  write(key, value) {
    this.change([{ key, value: Buffer.from(value), lease: 0 }], []);
  }

  erase(key) {
    this.change([], [key]);
  }

  change(puts, removes) {
    this.revision += 1;
    const { revision } = this;
    for (const { key, value, lease } of puts) {
      const made = this.items.get(key)?.made ?? revision;
      const item = { key, value, revision, made, lease };
      this.items.set(key, item);
      this.history.push({ key, revision, item, at: Date.now() });
    }
    for (const key of removes) {
      if (!this.items.delete(key)) continue;
      this.history.push({ key, revision, at: Date.now() });
    }
    for (const wake of [...this.watchers]) wake();
    return revision;
  }

  expire() {
    const now = Date.now();
    while (this.history.length > 0 && now - this.history[0].at > HISTORY_MS)
      this.droppedRevision = this.history.shift().revision;
    if (this.down) return;
    for (const [lease, { until }] of this.leases) if (until < now) this.endLease(lease);
  }

  endLease(lease) {
    this.leases.delete(lease);
    const keys = [...this.items.values()].filter((item) => item.lease === lease);
    if (keys.length > 0) this.change([], keys.map(({ key }) => key));
  }

  async serve(request, response, body) {
    const send = (status, value = {}) => {
      if (response.destroyed) return;
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
    };
    if (this.down) return send(503);
    const url = new URL(request.url, 'http://store');
    const query = (name) => url.searchParams.get(name) ?? '';
    const call = url.pathname.replace('/wardwing/', '');
    if (call === 'kv-key') {
      const item = this.items.get(query('tls_key'));
      return item === undefined ? send(404) : send(200, wire(item));
    }
    if (call === 'kv-range') return send(200, this.range(query('path_prefix'), query('after_revision')));
    if (call === 'kv-watch') {
      const wait = Math.min(30_000, Number(query('wait_ms')));
      return this.watch(query('path_prefix'), Number(query('after_revision')), wait, response, send);
    }
    if (call === 'kv-txn') return this.commit(JSON.parse(body.toString()), send);
    if (call === 'kv-lease') {
      const ttl = Math.max(1_000, JSON.parse(body.toString()).ttl_ms);
      const lease = this.nextLease++;
      this.leases.set(lease, { ttl, until: Date.now() + ttl });
      return send(200, { lease, ttl_ms: ttl });
    }
    const lease = Number(call.split('/')[1]);
    if (call.startsWith('kv-keep/')) {
      const known = this.leases.get(lease);
      if (known === undefined) return send(404);
      known.until = Date.now() + known.ttl;
      return send(200, { ttl_ms: known.ttl });
    }
    if (call.startsWith('kv-lease-end/')) {
      this.endLease(lease);
      return send(200);
    }
    return send(404);
  }

  range(prefix, after) {
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const requests = [];
    let bytes = 0;
    for (const key of keys) {
      const item = this.items.get(key);
      if (requests.length >= PAGE_ITEMS || (requests.length > 0 && bytes + item.value.length > PAGE_BYTES))
        return { requests, more: true, at: this.revision };
      bytes += item.value.length;
      requests.push(wire(item));
    }
    return { requests, more: false, at: this.revision };
  }

  watch(prefix, after, wait, response, send) {
    const find = () => {
      const events = this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
      return events.map(({ key, revision, item }) =>
        item === undefined ? { tls_key: key, revision, gone: true } : wire(item),
      );
    };
    if (after < this.droppedRevision) return send(410);
    const answer = (isOver) => {
      const events = find();
      if (events.length === 0 && !isOver) return;
      stop();
      send(this.down ? 503 : 200, { events, at: this.revision });
    };
    const wake = () => answer(false);
    const timer = setTimeout(() => answer(true), wait);
    const stop = () => {
      clearTimeout(timer);
      this.watchers.delete(wake);
    };
    this.watchers.add(wake);
    response.once('close', stop);
    wake();
  }

  commit({ expected_revision: expected = [], put = [], remove = [] }, send) {
    const refuse = (status, reason) => {
      this.onRefused({ status, reason });
      return send(status, { reason });
    };
    if (expected.length + put.length + remove.length > MAX_ENTRIES) return refuse(400, 'entries');
    const puts = put.map(({ tls_key: key, value, lease = 0 }) => ({
      ...{ key, value: Buffer.from(value, 'base64'), lease },
    }));
    if (puts.some(({ value }) => value.length > VALUE_BYTES)) return refuse(400, 'value_bytes');
    const keys = [...puts.map(({ key }) => key), ...remove];
    if (keys.some((key) => Buffer.byteLength(key) > 200)) return refuse(400, 'key');
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) return refuse(403, 'prefix');
    const isAsExpected = ({ tls_key: key, revision }) =>
      (this.items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(isAsExpected)) {
      const requests = expected.flatMap(({ tls_key: key }) => {
        const item = this.items.get(key);
        return item === undefined ? [] : [wire(item)];
      });
      return send(412, { requests });
    }
    if (puts.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) return send(404);
    return send(200, { revision: this.change(puts, remove) });
  }
}

function wire({ key, value, revision, made, lease }) {
  return { tls_key: key, value: value.toString('base64'), revision, made, lease };
}
