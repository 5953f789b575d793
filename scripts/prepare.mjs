// Installs and builds by itself what is missing, so that one command works on a fresh clone.
import { execFileSync } from 'node:child_process';
import { existsSync } from 'node:fs';

if (!existsSync('node_modules/.package-lock.json')) {
  execFileSync('npm', ['ci', '--no-fund', '--no-audit'], { stdio: 'inherit' });
}
execFileSync('node', ['scripts/build.mjs'], { stdio: 'inherit' });
