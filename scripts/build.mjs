// Bundles each program into one file, so that a daemon loads few modules and starts fast.
import { build } from 'esbuild';

const PROGRAMS = [
  'marjorammast',
  'entry',
  'agent',
  'local',
  'bench',
  'storeStandIn',
  'targetStandIn',
];

await build({
  entryPoints: PROGRAMS.map((name) => `marjorammast-app/src/${name}.ts`),
  outdir: 'marjorammast-app/dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  minifySyntax: true,
  sourcemap: 'linked',
  logLevel: 'warning',
});
