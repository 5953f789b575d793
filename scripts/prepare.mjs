// Installs missing or outdated packages and builds, so that one command works on a fresh clone.
import { execFileSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const LOCK = 'package-lock.json';
const INSTALLED = 'node_modules/.package-lock.json';

// A pull may bring a new lock file: without this check the build would miss the packages it names.
const isStale = () =>
  !existsSync(INSTALLED) || statSync(INSTALLED).mtimeMs < statSync(LOCK).mtimeMs;

if (isStale()) {
  execFileSync('npm', ['ci', '--no-fund', '--no-audit'], { stdio: 'inherit' });
}
execFileSync('node', ['scripts/build.mjs'], { stdio: 'inherit' });
