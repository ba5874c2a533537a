/**
 * Open connections to the workers go silent, without a reset, in the middle of their answers. A machine
 * is in touch again `contact_ms` later, and the route's `timeout_ms` of these requests ends after that.
 * The rule: a machine in touch gives a request that lasts longer than its route's `timeout_ms` a final
 * answer by half a second after it.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Gateway, pause } from '../lib/gateway.mjs';
import { PlatformStore } from '../lib/platform-store.mjs';
import { Record } from '../lib/record.mjs';
import { SilentProxy } from '../lib/silent-proxy.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const LIMIT_MS = 60_000;
const CONTACT_MS = 3_000;
const TIMEOUT_MS = 6_000;
const SLACK_MS = 500;
const DEADLINE_MS = 9_000;
/** Time for which a client waits for the end of its connection. */
const WAIT_MS = 20_000;
const REQUESTS_PER_GATEWAY = 10;
/** Time from the requests to the silence: each answer has begun and is not over by then. */
const SILENCE_AFTER_MS = 500;
const PIECES = 20;
const PIECE_BYTES = 400;
const PIECE_MS = 50;
const SLOTS = 16;
const SERVICE = 'wuno96b';
const HOST = 'ficu95.example';

const folder = mkdtempSync(path.join(tmpdir(), 'review-hang-'));
const record = new Record(import.meta.dirname);
const store = new PlatformStore();

/** A worker that begins its answer at once and sends it piece by piece, with its length announced. */
function makeWorker(id) {
  let running = 0;
  return http.createServer(async (request, response) => {
    try {
      for await (const _ of request);
    } catch {
      return;
    }
    if (request.headers['x-wardwing-expect-instance'] !== id) {
      response.writeHead(421, { 'x-wardwing-instance-id': id }).end();
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'x-wardwing-instance-id': id }).end();
      return;
    }
    const requestId = request.headers['x-wardwing-request-id'];
    const deadline = Number(request.headers['x-wardwing-deadline-ms']);
    running += 1;
    record.note(`run at ${id}: ${requestId}, deadline ${deadline} ms`);
    response.writeHead(200, {
      'x-wardwing-request-id': requestId,
      'x-wardwing-server-stamp': `stamp-${id}-${requestId}`,
      'x-wardwing-server-load': `${running},0,${SLOTS}`,
      'content-length': PIECES * PIECE_BYTES,
    });
    let sent = 0;
    const timer = setInterval(() => {
      response.write(Buffer.alloc(PIECE_BYTES, 97 + (sent % 26)));
      sent += 1;
      if (sent < PIECES) return;
      clearInterval(timer);
      response.end();
      record.note(`run at ${id}: ${requestId} is over`);
    }, PIECE_MS);
    const stop = setTimeout(() => response.destroy(), deadline);
    response.once('close', () => {
      running -= 1;
      clearInterval(timer);
      clearTimeout(stop);
    });
  });
}

/** Sends one request on a new connection; resolves with how and when it ended. */
function send(gateway, id) {
  const startedAt = record.now();
  record.note(`sent to ${gateway.name}: ${id}, deadline ${DEADLINE_MS} ms`, startedAt);
  return new Promise((resolve) => {
    let isOver = false;
    const finish = (outcome) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      const tookMs = Math.round(record.now() - startedAt);
      record.note(`answered by ${gateway.name}: ${id}, ${outcome} after ${tookMs} ms`);
      resolve({ id, outcome, tookMs });
      call.destroy();
    };
    const timer = setTimeout(() => finish('no answer, connection still open'), WAIT_MS);
    const call = http.request({
      ...gateway.front,
      agent: false,
      method: 'POST',
      path: '/lohu930/2f',
      headers: {
        Host: HOST,
        'X-Wardwing-Request-Id': id,
        'X-Wardwing-Deadline-Ms': DEADLINE_MS,
        'Content-Length': 5,
      },
    });
    call.on('response', (response) => {
      response.resume();
      response.once('end', () => finish(`status ${response.statusCode}`));
      response.once('error', () => finish('connection closed'));
    });
    call.on('error', () => finish('connection closed'));
    call.end('hello');
  });
}

async function main() {
  const storeAddress = await store.start();
  const route = { host: HOST, priority: 2, service: SERVICE, target_latency_ms: 1_500 };
  store.write('op/config', {
    version: 1,
    routes: [
      {
        ...route,
        ...{ name: 'r-1', path_prefix: '/lohu930/', kind: 'mutating' },
        ...{ timeout_ms: TIMEOUT_MS, max_attempts: 2 },
      },
    ],
    services: [{ name: SERVICE, health_path: '/health', max_connections: 110 }],
    limits: {
      ...{ max_header_bytes: 16_384, max_body_bytes: 33_554_432 },
      ...{ header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    },
  });
  const workers = [];
  const proxies = [];
  for (const [index, zone] of ['shannon-a', 'shannon-b'].entries()) {
    const id = `i-02d9e6b${index}`;
    const worker = makeWorker(id);
    await new Promise((resolve) => worker.listen(0, '127.0.0.1', resolve));
    const proxy = new SilentProxy(`127.0.0.1:${worker.address().port}`);
    const address = await proxy.start();
    workers.push(worker);
    proxies.push(proxy);
    const state = { version: 'v1', slots: SLOTS, state: 'ready', cold_remaining_ms: 0 };
    store.write(`servers/${id}`, { service: SERVICE, address, zone, ...state, sequence: 1 });
  }
  const shared = { folder, storeAddress };
  const gateways = [
    await Gateway.create({ ...shared, name: 'front-shannon-a-1', zone: 'shannon-a' }),
    await Gateway.create({ ...shared, name: 'front-shannon-b-1', zone: 'shannon-b' }),
  ];
  try {
    for (const gateway of gateways) gateway.start();
    for (const gateway of gateways) await gateway.ready();
    await pause(CONTACT_MS + 1_000);
    record.note('gateways in touch');
    const calls = [];
    for (let index = 0; index < REQUESTS_PER_GATEWAY; index += 1) {
      for (const gateway of gateways) {
        calls.push(send(gateway, `9c41d07be2a3${gateway.name.at(-3)}${index}`));
      }
    }
    await pause(SILENCE_AFTER_MS);
    if (TROUBLE) {
      const links = proxies.reduce((sum, proxy) => sum + proxy.silence(), 0);
      record.note(`${links} open connections to workers go silent; new ones work`);
    }
    return judge(await Promise.all(calls));
  } finally {
    await Promise.all(gateways.map((gateway) => gateway.end()));
    for (const proxy of proxies) proxy.stop();
    for (const worker of workers) {
      worker.closeAllConnections();
      worker.close();
    }
  }
}

function judge(answers) {
  const long = answers.filter(({ tookMs }) => tookMs > TIMEOUT_MS);
  const late = long.filter(({ tookMs }) => tookMs > TIMEOUT_MS + SLACK_MS);
  const isBroken = late.length >= 8 && late.length > long.length / 4;
  record.note(
    `CONFIG ${isBroken ? 'broken' : 'held'}: ${answers.length} requests, ${long.length} longer than ` +
      `timeout_ms, ${late.length} of them without a final answer ${SLACK_MS} ms later`,
  );
  if (!TROUBLE && !answers.every(({ outcome }) => outcome === 'status 200')) {
    throw new Error('requests failed without trouble');
  }
  return isBroken ? 1 : 0;
}

const limit = setTimeout(() => {
  record.note('time is over');
  process.exit(2);
}, LIMIT_MS);
let code = 2;
try {
  code = await main();
} catch (error) {
  record.note(`the case couldn't run: ${error.message}`);
}
clearTimeout(limit);
store.stop();
if (process.env.KEEP === undefined) rmSync(folder, { recursive: true, force: true });
else console.log(folder);
process.exit(code);
