/**
 * Builds the program of the platform's machines, and that of their operators, as one file each: a
 * process that loads one module in place of some hundreds starts in half the processor time, which
 * counts on machines with a third of a core. Types are checked by the tests' build, not here.
 */
import { build } from 'esbuild';

/** Modules written for `require` find it in the bundle, which is itself an ES module. */
const REQUIRE_BANNER =
  'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);';

await build({
  entryPoints: { wardwing: 'platform/main.ts', operator: 'platform/operator.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Names are kept, so that stack traces and profiles stay readable.
  minifyWhitespace: true,
  minifySyntax: true,
  // The package offers its CommonJS build to Node, of which nothing unused can be left out.
  alias: { rxjs: './node_modules/rxjs/dist/esm/index.js' },
  banner: { js: REQUIRE_BANNER },
});
