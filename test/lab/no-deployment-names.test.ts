import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import t from 'tap';

/** Folders of what runs on the users' machines. */
const SHIPPED = ['src', 'platform', 'deploy'];

/** Names of deployments, their places, services and kinds of request, of standard days and the bench. */
const FITTED_NAMES =
  /scmp|jipa|umurava|shannon|galway|limerick|abdali|sweifieh|marka-hall|gikondo|kicukiro|nyarugenge|kimihurura|phrasing|wayfinding|model-bench|member-portal|draft-writers|order-desk|premium-lookup|clause-summary|claim-note|pattern-draft|order-lookup|route-lookup|tile-refresh|fleetbench|\b(?:quiet|trouble|scale)-\d/i;

function filesOf(folder: string): string[] {
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => path.join(entry.parentPath ?? entry.path, entry.name));
}

t.test('nothing that ships depends on the name of a deployment, a day or the bench', async (t) => {
  const files = SHIPPED.flatMap(filesOf);
  t.ok(files.length > 200, `${files.length} files`);
  const found = files.filter((file) => FITTED_NAMES.test(readFileSync(file, 'utf8')));
  t.same(found, []);
});
