/**
 * Stand-in of a worker, after PROTOCOL.md: one life with its own id, which registers itself in the
 * store. `handle` decides on each request; by default a whole answer or a stream of events.
 */
import http from 'node:http';

export class Worker {
  version = 1;
  sequence = 0;
  running = 0;
  constructor({ store, id, service, zone, model, slots = 64, handle, eventMs = 20, record = () => {}, onWhole = () => {} }) {
    Object.assign(this, { store, id, service, zone, model, slots, handle, eventMs, record, onWhole });
  }

  async start() {
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('error', () => {});
      response.on('error', () => {});
      request.on('end', () => this.serve(request, response, Buffer.concat(chunks)));
    });
    this.server.keepAliveTimeout = 30_000;
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.register();
    return this;
  }

  register(state = 'ready') {
    const models = this.model === undefined ? [] : [{ name: this.model, version: this.version, adapters: [] }];
    const { service, address, zone, slots, sequence } = this;
    const entry = { service, address, zone, version: 'v1', slots, state, cold_remaining_ms: 0, models, stage: 'both', sequence };
    this.store.write(`servers/${this.id}`, JSON.stringify(entry));
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  serve(request, response, body) {
    const expected = request.headers['x-wardwing-expect-instance'];
    if (expected !== undefined && expected !== this.id)
      return response.writeHead(421, { 'X-Wardwing-Not-Run': '1', 'X-Wardwing-Instance-Id': this.id }).end();
    const json = { 'content-type': 'application/json' };
    if (request.url === '/health')
      return response.writeHead(200, { 'X-Wardwing-Instance-Id': this.id }).end();
    if (request.url === '/wardwing/report') {
      const models = this.model === undefined ? [] : [{ name: this.model, version: this.version, adapters: [] }];
      const report = { stage: 'both', models, busy: false, sequence: this.sequence, waiting: 0, running: this.running };
      return response.writeHead(200, json).end(JSON.stringify({ ...report, kv_used: 0, kv_total: 1e6, handles: 0 }));
    }
    if (request.url === '/wardwing/order') {
      const order = JSON.parse(body.toString());
      this.sequence += 1;
      this.version = order.version;
      this.register();
      return response.writeHead(202, json).end('{}');
    }
    const id = request.headers['x-wardwing-request-id'] ?? '';
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    this.record({ at: Date.now(), worker: this.id, id, url: request.url, bytes: body.length });
    const head = {
      'X-Wardwing-Request-Id': id,
      'X-Wardwing-Server-Stamp': `stamp.${this.id}.${id}`,
      'X-Wardwing-Server-Load': `${this.running},0,${this.slots}`,
    };
    if (this.handle !== undefined && this.handle({ request, response, body, head, id, worker: this })) return;
    if (this.model === undefined) return response.writeHead(200, head).end(`${id}:${body.length}`);
    this.stream(request, response, head, id);
  }

  /** Events 0, 1, ... of an item; their number is in its own header. */
  stream(request, response, head, id) {
    const events = Number(request.headers['x-events'] ?? 4);
    const size = Number(request.headers['x-event-bytes'] ?? 16);
    let index = Number(request.headers['last-event-id'] ?? -1) + 1;
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream', 'X-Wardwing-Weight-Versions': String(this.version) });
    response.flushHeaders();
    const burst = Number(request.headers['x-events-at-once'] ?? 1);
    const timer = setInterval(() => {
      if (index >= events) {
        clearInterval(timer);
        this.onWhole(id);
        return response.end();
      }
      let text = '';
      for (const last = Math.min(events, index + burst); index < last; index += 1)
        text += `id: ${index}\ndata: ${eventText(id, index, size)}\n\n`;
      response.write(text);
    }, this.eventMs);
    response.once('close', () => clearInterval(timer));
  }
}

/** The data of one event of an item. */
export function eventText(id, index, size) {
  return `${id}.${index}.`.padEnd(size, 'x').slice(-size);
}

/** The whole text of an item. */
export function wholeText(id, events, size) {
  return Array.from({ length: events }, (_, index) => eventText(id, index, size)).join('\n');
}
