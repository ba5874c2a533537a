/** The ways between gateways of two regions in a soak, and how gateways are led to them. */
import { type ChildProcess, spawn } from 'node:child_process';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { gatewayHost, linkHost, routedHost } from '../../../lab/soak/gateway-hosts.js';
import { RegionLink } from '../../../lab/soak/region-link.js';
import { SENDER_HEADER, SENDER_HOST, SENDER_NAME } from '../../../lab/soak/request-sender.js';

const HERE = gatewayHost(0, 0);
const NEIGHBOUR = gatewayHost(0, 1);
const ELSEWHERE = gatewayHost(1, 2);

const PRELOAD = new URL('../../../lab/soak/gateway-preload.js', import.meta.url).href;

/** Posts to an address as gateways do, with headers in a list, and prints the answer. */
const CALLER = `
import http from 'node:http';
const [host, port] = process.argv.slice(1);
const headers = ['Host', 'soak', 'x-own', 'kept'];
const agent = new http.Agent({ keepAlive: true });
const call = http.request({ host, port, method: 'POST', path: '/', headers, agent }, (response) => {
  response.on('data', (data) => process.stdout.write(data));
  response.on('end', () => process.exit(0));
});
call.on('error', () => process.exit(1));
call.end();
`;

async function serverAt(host: string, test: { teardown(work: () => void): void }) {
  const server = http.createServer((request, response) => {
    const { headers, socket } = request;
    const told = [headers[SENDER_HEADER], headers['x-own'], socket.localAddress];
    response.end(told.join(' '));
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  test.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return (server.address() as AddressInfo).port;
}

function textOf(child: ChildProcess): Promise<string> {
  let text = '';
  child.stdout?.on('data', (data: Buffer) => {
    text += data.toString();
  });
  return new Promise((resolve) => child.once('close', () => resolve(text)));
}

function callAs(name: string, from: string, to: string, port: number): Promise<string> {
  const options = ['--import', PRELOAD, '--input-type=module', '--eval', CALLER, '--'];
  const env = { ...process.env, [SENDER_NAME]: name, [SENDER_HOST]: from };
  return textOf(spawn(process.execPath, [...options, to, String(port)], { env }));
}

function get(host: string, port: number, limit: number): Promise<string | undefined> {
  return new Promise((resolve) => {
    const request = http.get({ host, port, agent: false, timeout: limit }, (response) => {
      response.on('data', (data: Buffer) => resolve(data.toString()));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(undefined));
  });
}

t.test('only connections to gateways of another region are led over links', async (t) => {
  t.equal(routedHost(HERE, NEIGHBOUR), NEIGHBOUR);
  t.equal(routedHost(HERE, ELSEWHERE), linkHost(ELSEWHERE));
  t.equal(routedHost(ELSEWHERE, HERE), linkHost(HERE));
  t.equal(routedHost(HERE, '127.0.0.1'), '127.0.0.1');
  t.equal(routedHost(HERE, '127.0.0.101'), '127.0.0.101', 'a replica of a journal');
});

t.test(
  'a gateway is named in its requests, which come over the link of their target',
  async (t) => {
    const port = await serverAt(ELSEWHERE, t);
    t.equal(await callAs('gateway-1', HERE, ELSEWHERE, port), '', 'nothing listens at the link');
    const link = new RegionLink(ELSEWHERE, port);
    await link.listen(linkHost(ELSEWHERE), port);
    t.teardown(() => link.close());
    t.equal(await callAs('gateway-1', HERE, ELSEWHERE, port), `gateway-1 kept ${ELSEWHERE}`);
  },
);

t.test('a silent link carries nothing until each silence has ended', async (t) => {
  const port = await serverAt(ELSEWHERE, t);
  const link = new RegionLink(ELSEWHERE, port);
  await link.listen(linkHost(ELSEWHERE), port);
  t.teardown(() => link.close());
  const ends = [link.silence(), link.silence()];
  t.equal(await get(linkHost(ELSEWHERE), port, 100), undefined);
  ends[0]?.();
  t.equal(await get(linkHost(ELSEWHERE), port, 100), undefined);
  ends[1]?.();
  t.ok(await get(linkHost(ELSEWHERE), port, 2_000));
});
