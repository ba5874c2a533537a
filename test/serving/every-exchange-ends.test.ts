/**
 * Guards against callers whose connection stays open without an answer after their request's timeout,
 * because a worker's answer stalled, or could not be sent on, after it had been chosen.
 */
import { Readable } from 'node:stream';
import t from 'tap';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { Failure } from '../../src/errors/error-kinds.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { HeaderList } from '../../src/serving/engine-port.js';
import { RequestForwarder } from '../../src/serving/request-forwarder.js';
import type { Route } from '../../src/serving/traffic-configuration.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { StallMeter } from '../fleet/stall-meter.js';
import {
  answer,
  BROKEN,
  brokenAnswer,
  callerRequest,
  events,
  NOT_RUN,
  quarantine,
  RecordingSink,
  recordingLog,
  route,
  type Script,
  ScriptedEngine,
  UNREACHED,
  VERSION_FIELD,
  worker,
} from './serving-fixtures.js';

const SEEDS = 300;
const REQUESTS_AT_ONCE = 50;

/** Timeouts of the routes. */
const TIMEOUTS: readonly Milliseconds[] = [30, 60, 120];

/** Time after the timeout by which each caller has an answer or a closed connection. */
const SLACK: Milliseconds = 500;

/** Time after which a request that has not ended is given up; far beyond the slack. */
const PATIENCE: Milliseconds = 4_000;

const KINDS = ['read-only', 'mutating', 'streaming'] as const;

/** What goes wrong with the caller's connection. */
const SINK_FAULTS = ['none', 'none', 'none', 'unsendable', 'nothing-sendable', 'slow'] as const;

/** A sink that throws, or accepts no more bytes; it counts the answers that it got. */
class FaultySink extends RecordingSink {
  answers = 0;
  endedAt: Milliseconds | undefined;
  private closed: () => void = () => {};
  private readonly whenClosed = new Promise<void>((resolve) => {
    this.closed = resolve;
  });

  constructor(private readonly fault: (typeof SINK_FAULTS)[number]) {
    super();
  }

  override sendComplete(status: number, headers: HeaderList, body: Buffer): void {
    this.throwIf('unsendable', 'nothing-sendable');
    super.sendComplete(status, headers, body);
    this.noteEnd();
  }
  override begin(status: number, headers: HeaderList): void {
    this.throwIf('unsendable', 'nothing-sendable');
    super.begin(status, headers);
  }
  override async write(chunk: Buffer): Promise<void> {
    await super.write(chunk);
    if (this.fault === 'slow') await this.whenClosed;
  }
  override end(): void {
    super.end();
    this.noteEnd();
  }
  override abort(): void {
    super.abort();
    this.noteEnd();
  }
  override fail(failure: Failure): void {
    this.throwIf('nothing-sendable');
    super.fail(failure);
    this.noteEnd();
  }

  private throwIf(...faults: readonly string[]): void {
    if (faults.includes(this.fault)) throw new RangeError('Invalid status code: 0');
  }

  private noteEnd(): void {
    this.answers += 1;
    this.endedAt ??= performance.now();
    this.closed();
  }
}

/** A body that sends some bytes and then nothing, until it is destroyed. */
function stalled(text: string): Readable {
  const body = new Readable({ read: () => {} });
  if (text !== '') body.push(Buffer.from(text));
  return body;
}

const REACTIONS: readonly (() => Script)[] = [
  () => 'hang',
  () => NOT_RUN,
  () => BROKEN,
  () => UNREACHED,
  () => brokenAnswer('par'),
  () => answer('reply'),
  () => answer('sorry', { status: 500 }),
  () => answer('', { body: stalled('') }),
  () => answer('', { body: stalled('par') }),
  () => answer('', { body: stalled(''), isStream: true }),
  () => answer('', { body: stalled(events(0, 'ab')), isStream: true }),
  () => brokenAnswer(events(0, 'ab'), { isStream: true }),
  () => answer(events(0, 'abc'), { isStream: true }),
];

function draw<Value>(random: RandomSource, values: readonly Value[]): Value {
  return values[random.integer(values.length)] as Value;
}

/** The reaction of a worker; like that of the platform's client, its body needs no reader. */
function reactionOf(random: RandomSource): Script {
  const script = draw(random, REACTIONS)();
  if (script !== 'hang' && script.kind === 'answered') script.body.on('error', () => {});
  return script;
}

/** Plays one request; returns what was wrong with its end. */
async function play(seed: number, stallMeter: StallMeter): Promise<string | undefined> {
  const random = createRandomSource(seed);
  const timeout = draw(random, TIMEOUTS);
  const fields: Partial<Route> = {
    kind: draw(random, KINDS),
    resumable: random.integer(2) === 0,
    targetLatency: draw(random, [10, 60, 5_000]),
    timeout,
  };
  const registry = new WorkerRegistry();
  for (const id of ['w1', 'w2', 'w3']) registry.put(worker(id));
  const scripts = Array.from({ length: 3 }, () => reactionOf(random));
  const forwarder = new RequestForwarder({
    engine: new ScriptedEngine(scripts),
    versionField: VERSION_FIELD,
    registry,
    quarantine: quarantine(),
    clock: PROCESS_CLOCK,
    log: recordingLog().log,
    metrics: new FleetMetrics(),
    zone: 'zone-1',
  });
  const sink = new FaultySink(draw(random, SINK_FAULTS));
  const request = callerRequest({ timeout: undefined });
  const startedAt = performance.now();
  const forwarded = forwarder.forward(request, route(fields), 'service', sink);
  const givenUp = new Promise<'late'>((resolve) => setTimeout(resolve, PATIENCE, 'late'));
  const ended = forwarded.then(
    () => 'ended' as const,
    () => 'rejected' as const,
  );
  const outcome = await Promise.race([ended, givenUp]);
  const endedAt = performance.now();
  const details = `seed ${seed}: ${fields.kind}`;
  if (sink.ending === 'open') return `${details}: no answer`;
  if (sink.answers !== 1) return `${details}: ${sink.answers} answers`;
  if (outcome !== 'ended') return `${details}: ${outcome}`;
  const time = endedAt - startedAt - stallMeter.stalledWithin(startedAt, endedAt);
  return time > timeout + SLACK ? `${details}: after ${Math.round(time)} ms` : undefined;
}

t.test('each caller has one answer or a closed connection at its timeout', async (t) => {
  const wrong: string[] = [];
  const stallMeter = new StallMeter();
  t.teardown(() => stallMeter.stop());
  for (let first = 1; first <= SEEDS; first += REQUESTS_AT_ONCE) {
    const seeds = Array.from({ length: REQUESTS_AT_ONCE }, (_, index) => first + index);
    const played = await Promise.all(seeds.map((seed) => play(seed, stallMeter)));
    wrong.push(...played.filter((text) => text !== undefined));
  }
  t.same(wrong, []);
});
