/** Guards against items that are terminated by a limit of attempts that is no longer in force. */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { JobResult, JobSpecification } from '../../src/jobs/job-records.js';
import type { EngineOutcome, EngineRequest } from '../../src/serving/engine-port.js';
import { RouteMatcher } from '../../src/serving/route-matcher.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import {
  answer,
  configuration,
  events,
  type Script,
  ScriptedEngine,
  worker,
} from '../serving/serving-fixtures.js';
import { always, OWNER, specification } from './job-fixtures.js';
import { isFinished, JOB_ROUTE, jobNode, SCORE_ROUTE, workUntil } from './job-node.js';

const failed = (): EngineOutcome => answer('', { status: 500, signature: 'failure' });
const text = (): EngineOutcome => answer(events(0, 'ab'), { isStream: true });

function routesWith(maxAttempts: number): RouteMatcher {
  const routes = [JOB_ROUTE, SCORE_ROUTE].map((route) => ({ ...route, maxAttempts }));
  return new RouteMatcher(configuration(routes, maxAttempts));
}

/** Raises the limit of attempts from one to two while a worker has the first failing request. */
class RaisingEngine extends ScriptedEngine {
  routes = routesWith(1);

  override send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome> {
    const [script] = this.scriptsLeft;
    if (script !== 'hang' && script?.kind === 'answered' && script.status === 500) {
      this.routes = routesWith(2);
    }
    this.scriptsLeft.shift();
    return super.send(request, signal);
  }

  constructor(private readonly scriptsLeft: Script[]) {
    super([...scriptsLeft]);
  }
}

async function resultOf(spec: JobSpecification, ...scripts: Script[]): Promise<JobResult[]> {
  const engine = new RaisingEngine(scripts);
  const extras = { routes: () => engine.routes };
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine, undefined, extras);
  node.registry.put(worker('w1'));
  node.registry.put(worker('s1', { service: 'scorers' }));
  node.registry.put(worker('s2', { service: 'scorers' }));
  await node.service.submit(spec, always);
  await workUntil(node, isFinished(node));
  const read = await node.service.read('job', 0, 0, UNRESTRICTED);
  return 'results' in read ? [...read.results] : [];
}

t.test('an item goes on if its attempts were raised while one failed', async (t) => {
  t.match(await resultOf(specification('job', 1), failed(), text()), [{ state: 'completed' }]);
});

t.test('a score is requested again if its attempts were raised while one failed', async (t) => {
  const spec = specification('job', 1);
  const scoreRequest = { id: 'score-0', host: 'scorer.example', path: '/score/0', body: '' };
  const scored = { ...spec, items: spec.items.map((item) => ({ ...item, scoreRequest })) };
  const good = answer('judged', { signature: 'good' });
  t.match(await resultOf(scored, text(), failed(), good), [{ state: 'completed', score: 'good' }]);
});
