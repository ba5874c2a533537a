/**
 * Guards against retries, hedges and resumed streams that use workers of a zone under evacuation.
 */
import { Readable } from 'node:stream';
import t from 'tap';
import { SendRules } from '../../src/placement/send-rules.js';
import { ZoneEvacuations } from '../../src/placement/zone-evacuations.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { RequestForwarder } from '../../src/serving/request-forwarder.js';
import type { Route } from '../../src/serving/traffic-configuration.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import {
  answer,
  BROKEN,
  callerRequest,
  events,
  NOT_RUN,
  quarantine,
  RecordingSink,
  recordingLog,
  route,
  type Script,
  ScriptedEngine,
  VERSION_FIELD,
  worker,
} from './serving-fixtures.js';

interface ForwardResult {
  readonly sink: RecordingSink;
  readonly sentTo: readonly string[];
}

/**
 * Forwards one request; the first send starts the evacuation of zone-1 with two of the three
 * workers.
 */
async function forward(scripts: Script[], fields: Partial<Route> = {}): Promise<ForwardResult> {
  const evacuations = new ZoneEvacuations();
  const registry = new WorkerRegistry(new SendRules([evacuations]));
  registry.put(worker('near-1'));
  registry.put(worker('near-2'));
  registry.put(worker('far', { zone: 'zone-2' }));
  class EvacuatingEngine extends ScriptedEngine {
    override send(...call: Parameters<ScriptedEngine['send']>): ReturnType<ScriptedEngine['send']> {
      evacuations.begin('zone-1');
      return super.send(...call);
    }
  }
  const engine = new EvacuatingEngine(scripts);
  const forwarder = new RequestForwarder({
    engine,
    versionField: VERSION_FIELD,
    registry,
    quarantine: quarantine(),
    clock: PROCESS_CLOCK,
    log: recordingLog().log,
    metrics: new FleetMetrics(),
    zone: 'zone-1',
  });
  const sink = new RecordingSink();
  await forwarder.forward(callerRequest(), route(fields), 'service', sink);
  return { sink, sentTo: engine.requests.map((request) => request.worker.id) };
}

t.test('a request in flight when the evacuation begins is answered', async (t) => {
  const { sink, sentTo } = await forward([answer('reply')]);
  t.equal(sink.body, 'reply');
  t.same(sentTo, ['near-1']);
});

t.test('a retry goes to another zone, whatever the outcome of the first attempt', async (t) => {
  for (const first of [BROKEN, NOT_RUN]) {
    const { sink, sentTo } = await forward([first, answer('reply')]);
    t.equal(sink.body, 'reply');
    t.same(sentTo, ['near-1', 'far']);
  }
});

t.test('a hedge goes to another zone', async (t) => {
  const { sink, sentTo } = await forward(['hang', answer('reply')], { targetLatency: 100 });
  t.equal(sink.body, 'reply');
  t.same(sentTo, ['near-1', 'far']);
});

t.test('a broken stream is resumed in another zone', async (t) => {
  const chunks = async function* (): AsyncGenerator<Buffer> {
    yield Buffer.from(events(0, 'ab'));
    throw new Error('connection reset');
  };
  const broken = answer('', { body: Readable.from(chunks()), isStream: true });
  const resumed = answer(events(2, 'c'), { isStream: true });
  const fields = { kind: 'streaming', resumable: true } as const;
  const { sink, sentTo } = await forward([broken, resumed], fields);
  t.equal(sink.body, events(0, 'abc'));
  t.equal(sink.ending, 'complete');
  t.same(sentTo, ['near-1', 'far']);
});

t.test('a request that did not run is rejected as overloaded when no worker is left', async (t) => {
  const { sink, sentTo } = await forward([NOT_RUN, NOT_RUN], { kind: 'mutating' });
  t.same(sentTo, ['near-1', 'far']);
  t.equal(sink.failure?.kind, 'overloaded');
});
