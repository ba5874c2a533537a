/** The reading of all jobs at the end of a soak. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { readAllJobs } from '../../../lab/soak/final-reading.js';
import { PromiseChecker, sampleLine } from '../../../lab/soak/promise-checker.js';
import { SoakKeys } from '../../../lab/soak/soak-keys.js';
import { createRandomSource } from '../../../src/core/random.js';

const ITEMS = ['one', 'two', 'three'];

const resultOf = (id: string) => ({
  ...{ id, state: 'completed', text: sampleLine(id, 0, 2), versions: [2] },
});

/** A gateway that refuses some calls and then lists a job in an order, two results a page. */
async function gateway(
  test: { teardown(work: () => void): void },
  refusals: number,
  order: readonly string[],
): Promise<string> {
  let left = refusals;
  const server = http.createServer((request, response) => {
    const isRefused = left > 0;
    left -= 1;
    if (isRefused) {
      response.writeHead(503).end('{}');
      return;
    }
    const url = new URL(request.url ?? '', 'http://gateway');
    const after = Number(url.searchParams.get('after_revision'));
    const results = order.slice(after, after + 2).map(resultOf);
    const page = { total: ITEMS.length, next_page_token: after + results.length, results };
    response.writeHead(200).end(JSON.stringify(page));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function fixture() {
  const startedAt = performance.now();
  const now = (): number => performance.now() - startedAt;
  const checker = new PromiseChecker(now);
  checker.requestOffered('job', 'trainers');
  checker.jobOffered({ id: 'job', minVersion: 1, events: new Map(ITEMS.map((id) => [id, 1])) });
  checker.jobAccepted('job');
  checker.resultsRead('job', 3, 0, ITEMS.map(resultOf));
  const surroundings = {
    ...{ checker, now, keys: new SoakKeys(now), random: createRandomSource(1) },
    evacuations: { requestOffered: () => {} },
  };
  const broken = (): string[] => checker.violations.map(({ promise }) => promise);
  return { surroundings, broken };
}

t.test('a gateway that refuses at first is asked again, and all pages are compared', async (t) => {
  const { surroundings, broken } = fixture();
  const address = await gateway(t, 2, ITEMS);
  await readAllJobs([address], 5_000, surroundings);
  t.same(broken(), []);
  t.ok(surroundings.checker.checkedByPromise['job-kept'] === 1);
});

t.test('other results than before are found at whichever gateway gives them', async (t) => {
  const { surroundings, broken } = fixture();
  const same = await gateway(t, 0, ITEMS);
  const other = await gateway(t, 0, ['two', 'one', 'three']);
  await readAllJobs([same, other], 5_000, surroundings);
  t.same(broken(), ['positions', 'positions']);
});

t.test('a job that is refused, or short, until the limit is not kept', async (t) => {
  const { surroundings, broken } = fixture();
  const refusing = await gateway(t, 1_000, ITEMS);
  const short = await gateway(t, 0, ITEMS.slice(0, 1));
  await readAllJobs([refusing, short], 600, surroundings);
  t.same(broken(), ['job-kept', 'job-kept']);
});
