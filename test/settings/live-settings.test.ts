import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import t from 'tap';
import { readSettings, SettingsError } from '../../platform/settings.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { LiveSettings } from '../../src/settings/live-settings.js';
import { DecisionLog } from '../../src/telemetry/decision-log.js';
import { eventually } from '../fleet/fleet-fixtures.js';

const LINES = [
  'node_name=front-1',
  'zone=hall-1',
  'machine_class=front',
  'ip=10.0.0.1',
  'internal_ports=7720,7735',
  'platform.address=10.0.0.9:8169',
  'bounds.grace_s=8',
];

function startLiveSettings(test: { teardown(work: () => void): void }) {
  const folder = mkdtempSync(path.join(os.tmpdir(), 'wardwing-settings-'));
  test.teardown(() => rmSync(folder, { recursive: true }));
  const file = path.join(folder, 'node.conf');
  const lines: string[] = [];
  const destination = { write: (line: string) => void lines.push(line) };
  const log = new DecisionLog({ node: 'n', zone: 'z', clock: PROCESS_CLOCK, destination });
  const write = (...changes: readonly [string, string][]): void => {
    let text = LINES.join('\n');
    for (const [from, to] of changes) text = text.replace(from, to);
    writeFileSync(file, text);
  };
  write();
  const live = new LiveSettings({
    path: file,
    read: readSettings,
    log,
    reloadable: ['timings'],
    pollInterval: 20,
  });
  return { live, write, lines, log, file };
}

t.test('a reload applies timings, and logs the keys that need a restart', async (t) => {
  const { live, write, lines } = startLiveSettings(t);
  write(['grace_s=8', 'grace_s=5'], ['zone=hall-1', 'zone=hall-2']);
  live.reload('signal');
  t.equal(live.current.timings.stopLimit, 5_000);
  t.equal(live.current.zone, 'hall-1');
  t.match(JSON.parse(lines.at(-1) ?? ''), {
    msg: 'settings-reloaded',
    cause: 'signal',
    changed: 'zone timings',
    needRestart: 'zone',
  });
});

t.test('an invalid file changes nothing, and the log names the key', async (t) => {
  const { live, write, lines } = startLiveSettings(t);
  write(['grace_s=8', 'grace_s=soon']);
  live.reload('signal');
  t.equal(live.current.timings.stopLimit, 8_000);
  t.match(JSON.parse(lines.at(-1) ?? ''), { msg: 'settings-rejected', problem: /bounds\.grace_s/ });
});

t.test('a changed file is reloaded without a signal', async (t) => {
  const { live, write } = startLiveSettings(t);
  live.watch();
  t.teardown(() => live.unwatch());
  write(['grace_s=8', 'grace_s=5.5']);
  await eventually(() => live.current.timings.stopLimit === 5_500);
});

t.test('a change between the first read and the watch is detected', async (t) => {
  const { live, write } = startLiveSettings(t);
  write(['grace_s=8', 'grace_s=4.5']);
  live.watch();
  t.teardown(() => live.unwatch());
  await eventually(() => live.current.timings.stopLimit === 4_500);
});

t.test('a missing file changes nothing, and is logged once', async (t) => {
  const { live, lines, file } = startLiveSettings(t);
  rmSync(file);
  live.watch();
  t.teardown(() => live.unwatch());
  await eventually(() => lines.length > 0);
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.equal(lines.length, 1);
  t.match(JSON.parse(lines[0] ?? ''), { msg: 'settings-rejected', cause: 'file' });
  t.equal(live.current.timings.stopLimit, 8_000);
});

t.test('an invalid file at the start is an error', async (t) => {
  const { write, log, file } = startLiveSettings(t);
  write(['ip=10.0.0.1', '']);
  const start = (): unknown =>
    new LiveSettings({ path: file, read: readSettings, log, reloadable: ['timings'] });
  t.throws(start, new SettingsError());
  t.throws(start, /ip/);
});
