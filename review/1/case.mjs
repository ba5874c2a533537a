/**
 * Workers hand out wrong bytes (`garble`, without a length): a few of their answers lack a length, and
 * are reset on the way, right behind their last bytes. Such an answer is not complete. The rule: no
 * client gets it as a success, and no result of a batch job is `completed` with such a text.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Gateway, pause } from '../lib/gateway.mjs';
import { PlatformStore } from '../lib/platform-store.mjs';
import { Record } from '../lib/record.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
/** Share of the answers that are reset; the site names up to 0.03, a day may use twice that. */
const RESET_SHARE = TROUBLE ? 0.06 : 0;
const LIMIT_MS = 100_000;
const LOOKUPS = 400;
const SEND_INTERVAL_MS = 25;
const WORK_MS = 25;
const EVENT_MS = 15;
const JOBS = 4;
const ITEMS = 40;
const EVENTS = 12;
const SLOTS = 16;
const HOST = 'ficu95.example';
const MODEL = 'daka510000';
const LOOKUP_SERVICE = 'wuno96b';
const MODEL_SERVICE = 'huvo11a';

const folder = mkdtempSync(path.join(tmpdir(), 'review-mixed-'));
const record = new Record(import.meta.dirname);
const store = new PlatformStore();
/** What the workers have made so far, and how many of these answers were reset. */
const made = { answers: 0, resets: 0 };

/** Whether the next answer is reset: evenly, so that each run has as many. */
function isNextReset() {
  made.answers += 1;
  const isReset = Math.floor(made.answers * RESET_SHARE) > made.resets;
  if (isReset) made.resets += 1;
  return isReset;
}

const lookupBody = (id) => `${id}:`.padEnd(800, 'q');
const eventText = (item, index) => `${item} event ${index}`;
const wholeText = (item) =>
  Array.from({ length: EVENTS }, (_, index) => eventText(item, index)).join('\n');

/** Sends an answer without a length on a connection, and resets it right behind the last byte. */
function sendAndReset(socket, headers, body) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  socket.write(['HTTP/1.1 200 OK', ...lines, '', body].join('\r\n'), () =>
    socket.resetAndDestroy(),
  );
}

function answerLookup(id, request, response) {
  const requestId = request.headers['x-wardwing-request-id'];
  const headers = {
    'X-Wardwing-Request-Id': requestId,
    'X-Wardwing-Server-Stamp': `stamp-${id}-${requestId}`,
    'X-Wardwing-Server-Load': `1,0,${SLOTS}`,
  };
  const body = lookupBody(requestId);
  if (!isNextReset()) {
    response.writeHead(200, { ...headers, 'Content-Length': body.length }).end(body);
    record.note(`answered by ${id}: lookup ${requestId}, ${body.length} bytes`);
    return;
  }
  const part = body.slice(0, body.length / 2);
  record.note(`reset by ${id}: lookup ${requestId} after ${part.length} of ${body.length} bytes`);
  sendAndReset(request.socket, headers, part);
}

/** Streams the events of an item; one that is reset ends between two events. */
function streamItem(id, request, response) {
  const item = request.headers['x-wardwing-request-id'];
  const last = request.headers['last-event-id'];
  const first = last === undefined ? 0 : Number(last) + 1;
  const headers = {
    'X-Wardwing-Request-Id': item,
    'X-Wardwing-Server-Stamp': `stamp-${id}-${item}`,
    'X-Wardwing-Server-Load': `1,0,${SLOTS}`,
    'X-Wardwing-Weight-Versions': '1',
    'Content-Type': 'text/event-stream',
  };
  const event = (index) => `id: ${index}\ndata: ${eventText(item, index)}\n\n`;
  if (first < EVENTS / 2 && isNextReset()) {
    const count = EVENTS / 2 - first;
    record.note(`reset by ${id}: item ${item} after event ${first + count - 1} of ${EVENTS}`);
    const events = Array.from({ length: count }, (_, index) => event(first + index));
    sendAndReset(request.socket, headers, events.join(''));
    return;
  }
  response.writeHead(200, headers);
  let index = first;
  const timer = setInterval(() => {
    if (index < EVENTS) {
      response.write(event(index));
      index += 1;
      return;
    }
    clearInterval(timer);
    response.end();
    record.note(`answered by ${id}: item ${item}, events ${first} to ${EVENTS - 1}`);
  }, EVENT_MS);
  response.once('close', () => clearInterval(timer));
}

function makeWorker(id, work) {
  return http.createServer(async (request, response) => {
    try {
      for await (const _ of request);
    } catch {
      return;
    }
    if (request.headers['x-wardwing-expect-instance'] !== id) {
      response.writeHead(421, { 'x-wardwing-instance-id': id }).end();
    } else if (request.url === '/health') {
      response.writeHead(200, { 'x-wardwing-instance-id': id }).end();
    } else if (request.url === '/wardwing/report') {
      const models = [{ name: MODEL, version: 1, adapters: [] }];
      const report = { stage: 'both', models, busy: false, sequence: 0, waiting: 0, running: 0 };
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ ...report, kv_used: 0, kv_total: 83_311, handles: 0 }));
    } else {
      record.note(`run at ${id}: ${request.headers['x-wardwing-request-id']}`);
      await pause(WORK_MS);
      work(id, request, response);
    }
  });
}

/** One call on a new connection; resolves with the status, the stamp and the body. */
function call({ front }, method, callPath, headers, body) {
  return new Promise((resolve) => {
    const options = { ...front, agent: false, method, path: callPath };
    const request = http.request({ ...options, headers: { Host: HOST, ...headers } });
    request.on('error', () => resolve({ status: 0, isWhole: false, text: '' }));
    request.on('response', (response) => {
      const chunks = [];
      const finish = () => {
        const { statusCode: status, complete: isWhole } = response;
        const stamp = response.headers['x-wardwing-server-stamp'];
        resolve({ status, stamp, isWhole, text: Buffer.concat(chunks).toString() });
      };
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', finish);
      response.on('end', finish);
    });
    request.end(body);
  });
}

async function lookUp(gateway, id) {
  record.note(`sent to ${gateway.name}: lookup ${id}`);
  const headers = { 'X-Wardwing-Request-Id': id, 'X-Wardwing-Deadline-Ms': 1_500 };
  const answer = await call(gateway, 'POST', '/lohu930/2f', headers, 'hello');
  const { status, stamp, isWhole, text } = answer;
  const bytes = `${text.length} bytes, ${isWhole ? 'whole by its framing' : 'broken off'}`;
  record.note(`answered by ${gateway.name}: lookup ${id}, status ${status}, ${bytes}`);
  const isShort = status === 200 && isWhole && text !== lookupBody(id);
  if (isShort) record.note(`BROKEN: lookup ${id} got a success (${stamp}) with a part of the body`);
  return { status, isShort };
}

async function runJob(gateway, job) {
  const requests = Array.from({ length: ITEMS }, (_, index) => ({
    id: `${job}${String(index).padStart(4, '0')}`,
    path: '/pule252/3/91c4',
    headers: { 'X-Wardwing-Model': MODEL, 'X-Wardwing-Token-Counts': '16,12' },
    body: 'q83vEjRWeJA=',
    tokens: 28,
    group: `g${index % 10}`,
  }));
  const body = { step: 0, model: MODEL, desired_count: 10, min_version: 1, requests };
  const headers = { 'X-Wardwing-Request-Id': job, 'Content-Type': 'application/json' };
  record.note(`sent to ${gateway.name}: batch job ${job} with ${ITEMS} items`);
  const { status } = await call(gateway, 'POST', '/pule252/7c41e0', headers, JSON.stringify(body));
  record.note(`answered by ${gateway.name}: batch job ${job}, status ${status}`);
  const results = [];
  for (let poll = 0; poll < 60 && results.length < ITEMS; poll += 1) {
    const wait = { 'X-Wardwing-Wait-Ms': 1_000 };
    const from = `/wardwing/lots/${job}?after_revision=${results.length}`;
    record.note(`sent to ${gateway.name}: read of ${job} from position ${results.length}`);
    const read = await call(gateway, 'GET', from, wait);
    const listed = read.status === 200 ? JSON.parse(read.text).results : [];
    const ids = listed.map(({ id, state }) => `${id} ${state}`).join(', ');
    record.note(`answered by ${gateway.name}: read of ${job}, status ${read.status}: ${ids}`);
    results.push(...listed);
    if (read.status !== 200) await pause(500);
  }
  record.note(`sent to ${gateway.name}: end of ${job}`);
  const end = await call(gateway, 'DELETE', `/wardwing/lots/${job}`, {});
  record.note(`answered by ${gateway.name}: end of ${job}, status ${end.status}`);
  const short = results.filter(
    ({ id, state, text }) => state === 'completed' && text !== wholeText(id),
  );
  for (const { id, text } of short) {
    const events = text.split('\n').length;
    record.note(`BROKEN: item ${id} is listed as completed with ${events} of ${EVENTS} events`);
  }
  return { listed: results.length, short: short.length };
}

function writeConfiguration() {
  const route = { host: HOST, timeout_ms: 1_500, target_latency_ms: 185, priority: 2 };
  const rollout = { kind: 'rollout', timeout_ms: 10_000, target_latency_ms: 400, priority: 1 };
  store.write('op/config', {
    version: 1,
    routes: [
      {
        ...route,
        ...{ name: 'r-1', path_prefix: '/lohu930/', kind: 'read_only', max_attempts: 3 },
        service: LOOKUP_SERVICE,
      },
      {
        ...route,
        ...rollout,
        ...{ name: 'r-2', path_prefix: '/pule252/', service: MODEL_SERVICE, max_attempts: 3 },
        ...{ resumable: true, max_queue_s: 40, result_deadline_ms: 7_500 },
      },
    ],
    services: [
      { name: LOOKUP_SERVICE, health_path: '/health', max_connections: 110 },
      {
        ...{ name: MODEL_SERVICE, health_path: '/health', max_connections: 170 },
        engine: { slots: SLOTS, models: [{ name: MODEL }] },
      },
    ],
    limits: {
      ...{ max_header_bytes: 16_384, max_body_bytes: 33_554_432 },
      ...{ header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    },
  });
}

async function startWorkers() {
  const workers = [];
  const start = async (id, work, service, models) => {
    const worker = makeWorker(id, work);
    await new Promise((resolve) => worker.listen(0, '127.0.0.1', resolve));
    workers.push(worker);
    const address = `127.0.0.1:${worker.address().port}`;
    const zone = workers.length % 2 === 0 ? 'shannon-a' : 'shannon-b';
    const state = { version: 'v1', slots: SLOTS, state: 'ready', cold_remaining_ms: 0 };
    store.write(`servers/${id}`, { service, address, zone, ...state, models, sequence: 1 });
  };
  for (let index = 0; index < 3; index += 1) {
    await start(`i-02d9e6b${index}`, answerLookup, LOOKUP_SERVICE, []);
    const models = [{ name: MODEL, version: 1, adapters: [] }];
    await start(`i-7f3a91c${index}`, streamItem, MODEL_SERVICE, models);
  }
  return workers;
}

async function main() {
  const storeAddress = await store.start();
  writeConfiguration();
  const workers = await startWorkers();
  const shared = { folder, storeAddress };
  const gateways = [
    await Gateway.create({ ...shared, name: 'front-shannon-a-1', zone: 'shannon-a' }),
    await Gateway.create({ ...shared, name: 'front-shannon-b-1', zone: 'shannon-b' }),
  ];
  try {
    for (const gateway of gateways) gateway.start();
    for (const gateway of gateways) await gateway.ready();
    await pause(4_000);
    record.note('gateways in touch');
    const jobs = Array.from({ length: JOBS }, async (_, index) => {
      await pause(index * 2_000);
      return runJob(gateways[index % gateways.length], `7c41e09b52d6a3f${index}`);
    });
    const lookups = [];
    for (let index = 0; index < LOOKUPS; index += 1) {
      const id = `9c41d07be2${String(index).padStart(6, '0')}`;
      lookups.push(lookUp(gateways[index % gateways.length], id));
      await pause(SEND_INTERVAL_MS);
    }
    return judge(await Promise.all(lookups), await Promise.all(jobs));
  } finally {
    await Promise.all(gateways.map((gateway) => gateway.end()));
    for (const worker of workers) {
      worker.closeAllConnections();
      worker.close();
    }
  }
}

function judge(lookups, jobs) {
  const shortLookups = lookups.filter(({ isShort }) => isShort).length;
  const shortItems = jobs.reduce((sum, { short }) => sum + short, 0);
  const served = lookups.filter(({ status }) => status === 200).length;
  const listed = jobs.reduce((sum, job) => sum + job.listed, 0);
  const isBroken = shortLookups + shortItems > 0;
  record.note(
    `MIXED ${isBroken ? 'broken' : 'held'}: ${made.resets} answers were reset; of ${served} lookups that ` +
      `were served ${shortLookups} have a part of the body, of ${listed} listed items ${shortItems} a part of the text`,
  );
  if (served < LOOKUPS / 2 || listed < (JOBS * ITEMS) / 2) throw new Error('too little was served');
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
