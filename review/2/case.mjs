/**
 * Two gateways order a worker to load the versions that a trainer names. The worker leaves two of three
 * orders unanswered and carries them out late (`applied_late`), and single processes are killed
 * (`node_kill`): the one that gave the last order, and the one that has just acquired the lock in the
 * store. The rule: where workers don't check fences, no two holders take turns (X, Y, X) at one worker
 * within `lease_ms`.
 */

import { mkdtempSync, rmSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Gateway, pause } from '../lib/gateway.mjs';
import { PlatformStore } from '../lib/platform-store.mjs';
import { Record } from '../lib/record.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const LEASE_MS = 3_000;
/** Time for which a late order waits, and for which the worker loads weights. */
const LATE_MS = 8_000;
const LOAD_MS = 900;
const LIMIT_MS = 100_000;
/** Rounds of kills; one that breaks the rule ends the case. */
const ROUNDS = 4;
/** Pause before a killed process starts again. */
const RESTART_MS = 100;
const LOCK_KEY = 'fleet/coordinator';
const MODEL = 'daka510000';
const SERVICE = 'huvo11a';
const WORKER = 'i-7f3a91c2';

const folder = mkdtempSync(path.join(tmpdir(), 'review-one-'));
const record = new Record(import.meta.dirname);
const store = new PlatformStore();
/** Orders that reached the worker: arrival, holder, fencing token. */
const orders = [];
let noteOrder = () => {};
let noteLock = () => {};
/** Newest version that the trainer has named. */
let named = 1;
/** State of the worker. */
const held = { version: 1, sequence: 0, isBusy: false };

/** Loads a version, unless the order no longer holds. */
function carryOut({ version, expected_revision: expected }) {
  if (held.isBusy || version <= held.version || (expected ?? held.sequence) !== held.sequence) {
    record.note(`not run at ${WORKER}: version ${version}, as it holds no longer`);
    return;
  }
  held.sequence += 1;
  held.isBusy = true;
  record.note(`run at ${WORKER}: the load of version ${version} begins`);
  setTimeout(() => {
    Object.assign(held, { version, isBusy: false });
    writeEntry();
    record.note(`run at ${WORKER}: version ${version} is loaded`);
  }, LOAD_MS);
}

/** The worker's entry in the store, which changes with its version. */
function writeEntry() {
  store.write(`servers/${WORKER}`, {
    ...{ service: SERVICE, address: `127.0.0.1:${worker.address().port}`, zone: 'shannon-a' },
    ...{ version: 'v1', slots: 12, state: 'ready', cold_remaining_ms: 0, stage: 'both' },
    ...{ models: [{ name: MODEL, version: held.version, adapters: [] }], sequence: 1 },
  });
}

let ordersTaken = 0;

/** Two of three orders get no answer, which is within twice the site's share (0.35). */
function answerOrder(order, response) {
  ordersTaken += 1;
  const { holder, version } = order;
  if (TROUBLE && ordersTaken % 3 !== 0) {
    record.note(`no answer to ${holder}: version ${version} is carried out ${LATE_MS} ms later`);
    setTimeout(carryOut, LATE_MS, order);
    return;
  }
  const isExpected = (order.expected_revision ?? held.sequence) === held.sequence;
  const status = order.version === held.version ? 200 : held.isBusy || !isExpected ? 409 : 202;
  record.note(`answered to ${holder}: status ${status}`);
  if (status === 202) carryOut(order);
  response.writeHead(status).end();
}

/** A worker that takes orders and tells its state. */
const worker = http.createServer(async (request, response) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  if (request.headers['x-wardwing-expect-instance'] !== WORKER) {
    response.writeHead(421, { 'x-wardwing-instance-id': WORKER }).end();
  } else if (request.url === '/wardwing/report') {
    const models = [{ name: MODEL, version: held.version, adapters: [] }];
    const { isBusy: busy, sequence } = held;
    const report = { stage: 'both', models, busy, sequence, waiting: 0, running: 0 };
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ ...report, kv_used: 0, kv_total: 83_311, handles: 0 }));
  } else if (request.url === '/wardwing/order') {
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const { holder, fencing_token: token, version } = body;
    const order = { at: record.now(), holder, token };
    orders.push(order);
    record.note(
      `order at ${WORKER}: holder ${holder}, fencing token ${token}, version ${version}`,
      order.at,
    );
    answerOrder(body, response);
    noteOrder(order);
  } else response.writeHead(200, { 'x-wardwing-instance-id': WORKER }).end();
});

store.onCommit = (puts) => {
  const put = puts.find(({ key }) => key === LOCK_KEY);
  if (put === undefined) return;
  const { node } = JSON.parse(put.value);
  record.note(`lock in the store: written by ${node}`);
  noteLock(node);
};

const nextOrder = (accepts, limit) => next((listener) => (noteOrder = listener), accepts, limit);
const nextLock = (accepts, limit) => next((listener) => (noteLock = listener), accepts, limit);

/** The next event that is accepted; rejects after a time limit. */
function next(listen, accepts, limit) {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('nothing came in time')), limit);
    listen((event) => {
      if (!accepts(event)) return;
      clearTimeout(timer);
      listen(() => {});
      resolve(event);
    });
  });
}

function nameVersion() {
  named += 1;
  store.write(`op/version/${MODEL}`, { model: MODEL, version: named });
  record.note(`a trainer names version ${named}`);
}

async function kill(gateway) {
  record.note(`kill ${gateway.name}`);
  gateway.signal('SIGKILL');
  await gateway.exited;
}

function restart(gateway) {
  record.note(`start ${gateway.name} again`);
  gateway.start();
}

/** Kills X, which gave the last order, then Y, which has just acquired the lock; and so on, back to X. */
async function round(gateways) {
  const first = await nextOrder(() => true, 20_000);
  const x = gateways.find(({ name }) => name === first.holder);
  const y = gateways.find((gateway) => gateway !== x);
  const lockOfY = nextLock((node) => node === y.name, 8_000);
  await kill(x);
  await lockOfY;
  const orderOfY = nextOrder(({ holder }) => holder === y.name, 8_000);
  await kill(y);
  restart(x);
  await pause(RESTART_MS);
  restart(y);
  await orderOfY;
  const lockOfX = nextLock((node) => node === x.name, 8_000);
  await kill(y);
  await lockOfX;
  const orderOfX = nextOrder(({ holder }) => holder === x.name, 8_000);
  await kill(x);
  await pause(RESTART_MS);
  restart(x);
  await orderOfX;
  restart(y);
}

/** The first turns X, Y, X at the worker within `lease_ms`. */
function turns() {
  for (const [index, last] of orders.entries()) {
    const within = orders.slice(0, index).filter(({ at }) => last.at - at <= LEASE_MS);
    const begin = within.findIndex(({ holder }) => holder === last.holder);
    const other = within.slice(begin + 1).find(({ holder }) => holder !== last.holder);
    if (begin >= 0 && other !== undefined) return [within[begin], other, last];
  }
  return undefined;
}

async function main() {
  const storeAddress = await store.start();
  await new Promise((resolve) => worker.listen(0, '127.0.0.1', resolve));
  const configuration = {
    version: 1,
    routes: [
      {
        ...{
          name: 'r-1',
          host: 'ficu95.example',
          path_prefix: '/pule252/',
          kind: 'rollout',
          timeout_ms: 10_000,
        },
        ...{
          target_latency_ms: 400,
          priority: 1,
          service: SERVICE,
          max_attempts: 3,
          resumable: true,
        },
        ...{ max_queue_s: 40, result_deadline_ms: 7_500 },
      },
    ],
    services: [
      {
        name: SERVICE,
        health_path: '/health',
        max_connections: 170,
        engine: { slots: 12, models: [{ name: MODEL }] },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 33_554_432,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
  store.write('op/config', configuration);
  writeEntry();
  const shared = { folder, storeAddress };
  const gateways = [
    await Gateway.create({ ...shared, name: 'front-shannon-a-1', zone: 'shannon-a' }),
    await Gateway.create({ ...shared, name: 'front-shannon-b-1', zone: 'shannon-b' }),
  ];
  try {
    for (const gateway of gateways) gateway.start();
    for (const gateway of gateways) await gateway.ready();
    record.note('both gateways are ready');
    await pause(5_000);
    nameVersion();
    for (let step = 0; !TROUBLE && step < 4; step += 1) {
      await pause(4_000);
      nameVersion();
    }
    for (let done = 0; TROUBLE && done < ROUNDS && turns() === undefined; done += 1) {
      if (done > 0) {
        await pause(5_000);
        nameVersion();
      }
      try {
        await round(gateways);
      } catch (error) {
        record.note(`round ended early: ${error.message}`);
        for (const gateway of gateways) if (!gateway.isRunning) restart(gateway);
      }
    }
  } finally {
    await Promise.all(gateways.map((gateway) => gateway.end()));
  }
  if (orders.length === 0) throw new Error('no order came');
  const found = turns();
  if (found === undefined) {
    record.note('ONE held: no two holders took turns within lease_ms');
    return 0;
  }
  const [from, , to] = found;
  const text = found
    .map(({ holder, token, at }) => `${holder} (${token}, ${(at / 1_000).toFixed(3)} s)`)
    .join(', ');
  record.note(`ONE broken: holders took turns within ${Math.round(to.at - from.at)} ms: ${text}`);
  return 1;
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
worker.closeAllConnections();
worker.close();
if (process.env.KEEP === undefined) rmSync(folder, { recursive: true, force: true });
else console.log(folder);
process.exit(code);
