// Bundles each binary and the published client into dist/.
import { existsSync } from 'node:fs';
import { build } from 'esbuild';

const entryPoints = Object.entries({
  'jackdaw-entry': 'src/programs/entry/main.ts',
  'jackdaw-gateway': 'src/programs/gateway/main.ts',
  'jackdaw-keeper': 'src/programs/keeper/main.ts',
  jackdaw: 'src/programs/jackdaw/main.ts',
  'jackdaw-demo': 'tools/demo/main.ts',
  client: 'client/index.ts',
  'standin-engine': 'standins/engine/main.ts',
  'standin-plain': 'standins/plain/main.ts',
  'standin-platform': 'standins/platform/main.ts',
}).filter(([, file]) => existsSync(file));

await build({
  entryPoints: Object.fromEntries(entryPoints),
  outdir: 'dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  packages: 'external',
  sourcemap: true,
});
console.log(`built ${entryPoints.map(([name]) => name).join(', ')}`);
