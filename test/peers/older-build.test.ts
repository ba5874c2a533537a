/** Questions between nodes of this build and of format 1, both ways. */
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { parse, stringify } from 'devalue';
import t from 'tap';
import { PeerClient } from '../../src/peers/peer-client.js';
import type { PeerRequest } from '../../src/peers/peer-messages.js';
import { PEER_PATH } from '../../src/peers/peer-protocol.js';
import { PeerServer } from '../../src/peers/peer-server.js';
import { ANSWERS, QUESTIONS, STATUS_OF_UNKNOWN_KIND } from '../fixtures/format-1.js';

const LIMIT = 1_000;

/** A question that a later build asks. */
const LATER = { kind: 'a-later-question' } as unknown as PeerRequest & { kind: 'take-job' };

const TAKE_JOB = { kind: 'take-job', job: 'job' } as const;

/** Answers as a build of format 1 does; a new life of it closes all connections. */
async function olderNode(test: Pick<typeof t, 'teardown'>) {
  const asked: string[] = [];
  const connections = new Set<Socket>();
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const { kind } = parse(Buffer.concat(chunks).toString()) as { kind: string };
      asked.push(kind);
      const answer = (ANSWERS as Readonly<Record<string, string>>)[kind];
      if (answer === undefined) response.writeHead(STATUS_OF_UNKNOWN_KIND).end();
      else response.writeHead(200, { 'content-type': 'application/json' }).end(answer);
    });
  });
  server.on('connection', (socket) => connections.add(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const endLife = (): void => {
    for (const socket of connections) socket.destroy();
  };
  test.teardown(() => {
    endLife();
    server.close();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return { address, asked, connections, endLife };
}

function client(test: Pick<typeof t, 'teardown'>): PeerClient {
  const made = new PeerClient();
  test.teardown(() => made.stop());
  return made;
}

t.test('an older node is asked once in its life what it does not know', async (t) => {
  const node = await olderNode(t);
  const asker = client(t);
  t.same(await asker.request(node.address, LATER, LIMIT), { kind: 'unsupported' });
  t.same(await asker.request(node.address, LATER, LIMIT), { kind: 'unsupported' });
  t.match(await asker.request(node.address, TAKE_JOB, LIMIT), { kind: 'answered' });
  t.same(node.asked, ['a-later-question', 'take-job']);
  t.equal(node.connections.size, 1, 'its connection is used on');

  node.endLife();
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.same(await asker.request(node.address, LATER, LIMIT), { kind: 'unsupported' });
  t.equal(node.asked.length, 3, 'its next life may know it');
});

t.test('a question that is too long does not keep shorter ones of its kind back', async (t) => {
  const node = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      const length = Number(request.headers['content-length']);
      if (length > 1_000) response.writeHead(STATUS_OF_UNKNOWN_KIND).end();
      else response.writeHead(200).end(ANSWERS['take-job']);
    });
  });
  await new Promise<void>((resolve) => node.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    node.closeAllConnections();
    node.close();
  });
  const address = `127.0.0.1:${(node.address() as AddressInfo).port}`;
  const asker = client(t);
  const long = { kind: 'take-job', job: 'j'.repeat(2_000) } as const;
  t.same(await asker.request(address, long, LIMIT), { kind: 'unsupported' });
  t.match(await asker.request(address, TAKE_JOB, LIMIT), { kind: 'answered' });
});

t.test('answers of an older node are read', async (t) => {
  const node = await olderNode(t);
  const asker = client(t);
  for (const [kind, question] of Object.entries(QUESTIONS)) {
    const request = parse(question) as PeerRequest & { kind: 'take-job' };
    const outcome = await asker.request(node.address, request, LIMIT);
    const told = parse((ANSWERS as Readonly<Record<string, string>>)[kind] ?? '');
    t.same(outcome, { kind: 'answered', answer: told }, kind);
  }
});

/** A server of this build, and a way to post to it what another build writes. */
async function ownNode(test: Pick<typeof t, 'teardown'>) {
  const asked: PeerRequest[] = [];
  const faults: unknown[] = [];
  const known: readonly string[] = Object.keys(QUESTIONS);
  const server = new PeerServer(
    {
      answer: async (request) => {
        asked.push(request);
        return known.includes(request.kind) ? { isTaken: true } : undefined;
      },
    },
    (error) => faults.push(error),
  );
  const port = await server.listen('127.0.0.1', 0);
  test.teardown(() => server.stop());
  const address = `127.0.0.1:${port}`;
  const post = async (body: string) =>
    (await fetch(`http://${address}${PEER_PATH}`, { method: 'POST', body })).status;
  return { address, asked, faults, post };
}

t.test('questions of an older node are answered', async (t) => {
  const node = await ownNode(t);
  for (const [kind, question] of Object.entries(QUESTIONS)) {
    t.equal(await node.post(question), 200, kind);
    t.same(node.asked.at(-1), parse(question), kind);
  }
});

t.test('a question of a later build is told to be unknown, without a fault', async (t) => {
  const node = await ownNode(t);
  t.same(await client(t).request(node.address, LATER, LIMIT), { kind: 'unsupported' });
  t.equal(await node.post(stringify(LATER)), 501);
  t.equal(await node.post('no question'), 400);
  t.same(node.faults, []);
});

t.test('fields of a later build do no harm', async (t) => {
  const node = await ownNode(t);
  const later = { ...TAKE_JOB, region: 'north' };
  t.match(await client(t).request(node.address, later, LIMIT), { kind: 'answered' });
});
