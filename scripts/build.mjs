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
  'agentFleet',
];

// Error messages are in English; the other languages of the schema library take memory.
const englishOnly = {
  name: 'englishOnly',
  setup: (bundle) => {
    bundle.onResolve({ filter: /locales\/index\.js$/ }, ({ importer, resolveDir }) =>
      importer.includes('/zod/') ? { path: `${resolveDir}/../locales/en.js` } : undefined,
    );
  },
};

await build({
  entryPoints: PROGRAMS.map((name) => `marjorammast-app/src/${name}.ts`),
  outdir: 'marjorammast-app/dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: 'linked',
  plugins: [englishOnly],
  logLevel: 'warning',
});
