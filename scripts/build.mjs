// Bundles each program into one file, so that a daemon loads few modules and starts fast.
// With a folder as the argument, it builds only the daemons of a deployment, into that folder.
import { build } from 'esbuild';

const DAEMONS = ['dispatchEntry', 'gateAgent'];

const PROGRAMS = [
  ...DAEMONS,
  'marjorammast',
  'entry',
  'agent',
  'local',
  'bench',
  'storeStandIn',
  'targetStandIn',
  'agentFleet',
  'soak',
];

// Error messages are in English. The other languages of the schema library (zod) only take memory.
const englishOnly = {
  name: 'englishOnly',
  setup: (bundle) => {
    bundle.onResolve({ filter: /locales\/index\.js$/ }, ({ importer, resolveDir }) =>
      importer.includes('/zod/') ? { path: `${resolveDir}/../locales/en.js` } : undefined,
    );
  },
};

const [folder] = process.argv.slice(2);

await build({
  entryPoints: (folder ? DAEMONS : PROGRAMS).map((name) => `marjorammast-app/src/${name}.ts`),
  outdir: folder ?? 'marjorammast-app/dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  minify: true,
  sourcemap: 'linked',
  plugins: [englishOnly],
  logLevel: 'warning',
});
