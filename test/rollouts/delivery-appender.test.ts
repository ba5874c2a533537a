/** Versions at hand-over: what is dropped, what waits, what is handed over. */
import t from 'tap';
import type { Configuration, Intent } from '../../src/config-feed/configuration.js';
import type { GenerationResult } from '../../src/core/generation.js';
import type { LedgerPort, NodePorts } from '../../src/core/node-ports.js';
import { mechanismsWithout } from '../../src/node/mechanisms.js';
import { DeliveryAppender } from '../../src/rollouts/delivery-appender.js';
import type { LedgerRecord, StepRecord } from '../../src/rollouts/records.js';

const RECORD = { intent: 'i', model: 'm', sampleCount: 4 } as StepRecord;

/** An appender before a ledger of one page whose next change waits until the test lets it go. */
class Fixture {
  readonly delivered: string[] = [];
  readonly dropped: string[] = [];
  newest = 3;
  fresh = true;
  versionSpan: Intent['versionSpan'] = 'record';
  now = 0;
  private page: LedgerRecord | null = null;
  private waiting: (() => void)[] = [];
  readonly appender: DeliveryAppender;

  constructor() {
    const change: LedgerPort['change'] = (_address, apply, _deadline, done) => {
      this.waiting.push(() => {
        const changed = apply(this.page);
        if (changed.kind === 'write') this.page = changed.value;
        done({ kind: 'changed', value: this.page } as Parameters<typeof done>[0]);
      });
    };
    const read: LedgerPort['read'] = (_address, _deadline, done) =>
      done({ kind: 'changed', value: this.page } as Parameters<typeof done>[0]);
    const ports = {
      ledger: { change, read },
      counters: { increment: () => undefined },
      mechanisms: mechanismsWithout(),
      now: () => this.now,
      isFresh: () => this.fresh,
      configuration: () => this.configuration(),
    } as unknown as NodePorts;
    this.appender = new DeliveryAppender(ports, 'step/s', RECORD, {
      delivered: (entries) => this.delivered.push(...entries.map((entry) => entry.key)),
      closed: () => undefined,
      inadmissible: (key, reason) => this.dropped.push(`${key} ${reason.split(': ')[1]}`),
    });
    this.appender.load(() => undefined);
  }

  add(key: string, ...versions: number[]): void {
    const segments = versions.map((version, firstToken) => ({
      version,
      firstToken,
      tokenCount: 1,
    }));
    const result = { text: '', tokenCount: versions.length, segments, finishReason: 'stop' };
    this.appender.add({ key, digest: key }, result as GenerationResult);
  }

  carryOut(): void {
    for (const change of this.waiting.splice(0)) change();
  }

  private configuration(): Configuration {
    const { versionSpan } = this;
    const limits = { minimumVersion: 1, maximumVersion: null, stalenessBound: 1, versionSpan };
    const versions = Array.from({ length: this.newest }, (_, index) => ({ version: index + 1 }));
    return {
      intents: new Map([['i', { model: 'm', ...limits }]]),
      catalogues: new Map([['m', { model: 'm', versions }]]),
    } as unknown as Configuration;
  }
}

t.test('a version published while the change is under way drops what became too old', async (t) => {
  const fixture = new Fixture();
  fixture.add('old', 2, 3);
  fixture.newest = 4;
  fixture.carryOut();
  t.same(fixture.delivered, []);
  t.same(fixture.dropped, ['old too-old']);
});

t.test('one version per sample: a sample of two is run again, never handed over', async (t) => {
  const fixture = new Fixture();
  fixture.versionSpan = 'restart';
  fixture.add('mixed', 2, 3);
  fixture.add('pure', 3, 3);
  fixture.carryOut();
  fixture.carryOut();
  t.same(fixture.delivered, ['pure']);
  t.same(fixture.dropped, ['mixed version-changed']);
  fixture.versionSpan = 'record';
  fixture.add('mixed', 2, 3);
  fixture.carryOut();
  t.same(fixture.delivered, ['pure', 'mixed']);
});

t.test(
  'where the newest version is not known now, a sample waits and is not dropped',
  async (t) => {
    const fixture = new Fixture();
    fixture.add('a', 3);
    fixture.fresh = false;
    fixture.carryOut();
    t.same([fixture.delivered, fixture.dropped], [[], []]);
    fixture.fresh = true;
    fixture.now = 1_000;
    fixture.appender.tick();
    fixture.carryOut();
    t.same(fixture.delivered, ['a']);
  },
);
