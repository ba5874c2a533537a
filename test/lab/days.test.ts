import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { parse } from 'smol-toml';
import t from 'tap';
import { z } from 'zod';
import { dayFor, modelServiceOf, outcomeOf } from '../../lab/days/run-days.js';

const FOLDER = path.join('lab', 'days', 'days');

const DISRUPTION = z.looseObject({ kind: z.string(), at: z.number() });
const DAY = z.looseObject({
  name: z.string(),
  seed: z.number(),
  plan: z.array(DISRUPTION),
  faults: z.array(DISRUPTION),
});

t.test('each day can be read, bears the name of its file and troubles something', async (t) => {
  const files = readdirSync(FOLDER);
  t.ok(files.length >= 25);
  for (const file of files) {
    const day = DAY.parse(parse(dayFor(readFileSync(path.join(FOLDER, file), 'utf8'), 's')));
    t.equal(`${day.name}.toml`, file);
    t.ok(day.plan.length + day.faults.length > 0);
  }
});

t.test('the service with models takes the place of the placeholder', async (t) => {
  const site = '[[services]]\nname = "shop"\n[[services]]\nname = "bench"\nmodel = "llm"\n';
  t.equal(modelServiceOf(site), 'bench');
  t.equal(dayFor('service = "MODEL_SERVICE"', 'bench'), 'service = "bench"');
  t.throws(() => modelServiceOf('services = []'));
});

t.test('a broken rule, a fault or no line at all is not kept', async (t) => {
  t.ok(outcomeOf('day', 'built\nday   10/12   1.00  0.9\n').isKept);
  t.notOk(outcomeOf('day', 'day   10/12   0.00  0.9  BROKEN: LOST 2\n').isKept);
  t.notOk(outcomeOf('day', 'day   10/12   0.00  0.9  FAULT: exits\n').isKept);
  t.notOk(outcomeOf('day', 'the build failed\n').isKept);
});
