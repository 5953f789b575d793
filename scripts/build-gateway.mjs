// Bundles the gateway with all its packages into target/, so that a VM starts it from one file, and
// writes the bundle's code cache.
import { spawnSync } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync } from 'node:fs';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

const BUNDLE = 'target/jackdaw-gateway-bundle.cjs';

/** Takes seconds on an idle machine, but the build server may be overloaded. */
const WRITE_TIMEOUT_MS = 240_000;

await build({
  entryPoints: {
    'jackdaw-gateway-bundle': 'src/programs/gateway/main.ts',
    'warm-up': 'tools/warm-up/main.ts',
  },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Identifiers are not minified, so that stack traces in logs stay readable.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
});
copyFileSync('scripts/gateway-loader.cjs', 'target/jackdaw-gateway.cjs');

const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'));
const flags = roles.gateway.run.split(' ').filter((word) => /^--max|^--min/.test(word));
rmSync(`${BUNDLE}.cache`, { force: true });
const written = spawnSync(process.execPath, [...flags, 'scripts/write-code-cache.cjs'], {
  stdio: ['ignore', 'ignore', 'inherit'],
  timeout: WRITE_TIMEOUT_MS,
});
// A gateway without a code cache starts more slowly, and logs that.
if (written.status !== 0) console.warn('the code cache could not be written');
