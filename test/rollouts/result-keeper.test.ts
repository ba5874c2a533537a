import t from 'tap';
import type { GenerationResult } from '../../src/core/generation.js';
import { contentDigest } from '../../src/core/hashing.js';
import type { LedgerPort, NodePorts } from '../../src/core/node-ports.js';
import { AcknowledgedBodies } from '../../src/rollouts/acknowledged-bodies.js';
import type { StepRecord } from '../../src/rollouts/records.js';
import { ResultKeeper } from '../../src/rollouts/result-keeper.js';

const RECORD = { intent: 'i', sampleCount: 100, acknowledged: 0 } as StepRecord;
const RESULT: GenerationResult = { text: 'x', tokenCount: 1, segments: [], finishReason: 'stop' };

/** A ledger with room for so many bodies, and a keeper before it. */
class Ledger {
  now = 0;
  stores = 0;
  refreshes = 0;
  reachable = true;
  readonly bodies = new Set<string>();
  readonly order: string[] = [];
  readonly keeper: ResultKeeper;
  readonly acknowledged: AcknowledgedBodies;

  constructor(public room: number) {
    const storeBody: LedgerPort['storeBody'] = (_domain, _shard, body, _deadline, done) => {
      this.stores += 1;
      const digest = contentDigest(body);
      const hasRoom = this.reachable && this.bodies.size < this.room;
      if (hasRoom) this.bodies.add(digest);
      const refusal = this.reachable ? 'full' : 'unavailable';
      done(digest, { kind: hasRoom ? 'stored' : refusal } as Parameters<typeof done>[1]);
    };
    const removeBodies: LedgerPort['removeBodies'] = (_domain, _shard, digests) => {
      for (const digest of digests ?? []) this.bodies.delete(digest);
    };
    const ports = {
      ledger: { storeBody, removeBodies },
      recordDecision: () => undefined,
      now: () => this.now,
    } as unknown as NodePorts;
    this.acknowledged = new AcknowledgedBodies(ports, 'step/s', RECORD);
    this.keeper = new ResultKeeper(ports, 'step/s', RECORD, {
      stored: (entry) => {
        this.order.push(entry.key);
        this.acknowledged.delivered([entry]);
      },
      full: () => this.acknowledged.forget(),
      refused: () => {
        this.refreshes += 1;
      },
    });
  }

  tick(): void {
    this.now += 250;
    this.keeper.tick();
  }
}

t.test('a full ledger is tried by one result at a time and not by all', async (t) => {
  const ledger = new Ledger(10);
  for (let sample = 0; sample < 50; sample += 1) ledger.keeper.keep(`s${sample}`, RESULT);
  t.ok(ledger.keeper.isBlocked);
  const before = ledger.stores;
  for (let tick = 0; tick < 8; tick += 1) ledger.tick();
  t.equal(ledger.stores - before, 8);
  ledger.room = 100;
  ledger.tick();
  t.notOk(ledger.keeper.isBlocked);
  t.equal(new Set(ledger.order).size, 50, 'each result is stored once there is room');
  t.equal(ledger.order.length, 50);
});

t.test('a step larger than the ledger goes on with each acknowledgement', async (t) => {
  const ledger = new Ledger(10);
  for (let sample = 0; sample < 50; sample += 1) ledger.keeper.keep(`s${sample}`, RESULT);
  t.equal(ledger.order.length, 10);
  for (let tick = 0; tick < 4; tick += 1) ledger.tick();
  t.equal(ledger.order.length, 10, 'nothing is forgotten that is not acknowledged');
  ledger.acknowledged.raise(4);
  ledger.tick();
  ledger.tick();
  t.equal(ledger.order.length, 14);
  for (let tick = 0; tick < 40; tick += 1) {
    ledger.acknowledged.raise(ledger.order.length);
    ledger.tick();
  }
  t.equal(new Set(ledger.order).size, 50);
});

t.test('results stay for reading again while there is room', async (t) => {
  const ledger = new Ledger(50);
  for (let sample = 0; sample < 40; sample += 1) ledger.keeper.keep(`s${sample}`, RESULT);
  ledger.acknowledged.raise(40);
  ledger.tick();
  t.equal(ledger.bodies.size, 40);
});

t.test('a result that another driver delivered is not tried for ever', async (t) => {
  const ledger = new Ledger(10);
  ledger.reachable = false;
  ledger.keeper.keep('a', RESULT);
  t.notOk(ledger.keeper.isBlocked, 'only a full ledger holds further samples back');
  t.equal(ledger.refreshes, 1, 'the log is read again');
  ledger.keeper.delivered(new Set(['a']));
  const before = ledger.stores;
  ledger.tick();
  t.equal(ledger.stores, before);
});
