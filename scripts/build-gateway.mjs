// Bundles the gateway with all its packages into target/, so that a VM starts from one file.
import { build } from 'esbuild';

await build({
  entryPoints: { 'jackdaw-gateway': 'src/programs/gateway/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  logLevel: 'warning',
});
