/** Guards against a gateway that joins the fleet although its address belongs to another process. */
import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import net from 'node:net';
import path from 'node:path';
import t from 'tap';

const MAIN = path.join(import.meta.dirname, '..', '..', 'platform', 'main.js');

function listen(): Promise<{ server: net.Server; port: number }> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve({ server, port: (server.address() as net.AddressInfo).port });
    });
  });
}

t.test('a gateway whose address is in use ends with an error', async (t) => {
  const { server, port } = await listen();
  const spare = await listen();
  spare.server.close();
  t.teardown(() => server.close());
  const settings = path.join(t.testdir(), 'gateway.conf');
  const lines = [
    ...['node_name=node-1', 'zone=zone-1', 'machine_class=front', 'ip=127.0.0.1'],
    `internal_ports=${spare.port},${spare.port}`,
    `listen.front=127.0.0.1:${port}`,
    'platform.address=127.0.0.1:9',
  ];
  writeFileSync(settings, lines.join('\n'));
  const child = spawn(process.execPath, [MAIN], {
    env: { ...process.env, WARDWING_CONFIG: settings },
  });
  const limit = setTimeout(() => child.kill('SIGKILL'), 10_000);
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  const code = await new Promise((resolve) => child.once('close', resolve));
  clearTimeout(limit);
  t.equal(code, 1);
  t.match(output, /start-failed/);
  t.match(output, /EADDRINUSE/);
  t.notMatch(output, /fleet-node/);
});
