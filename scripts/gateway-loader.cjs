// Loads the bundled gateway with the code cache that the build writes next to it: compiling the
// bundle is a large part of the processor time until a VM is ready. V8 rejects a cache from other
// flags or another Node.js version; the loader logs this.
'use strict';

const { readFileSync } = require('node:fs');
const { createRequire, wrap } = require('node:module');
const { dirname, join } = require('node:path');
const { Script } = require('node:vm');

const file = join(__dirname, 'jackdaw-gateway-bundle.cjs');

const readCache = () => {
  try {
    return readFileSync(`${file}.cache`);
  } catch {
    return undefined;
  }
};

const cachedData = readCache();
const script = new Script(wrap(readFileSync(file, 'utf8')), { filename: file, cachedData });
if (!cachedData || script.cachedDataRejected) {
  const message = cachedData ? 'code cache rejected' : 'no code cache';
  process.stdout.write(`${JSON.stringify({ context: { program: 'jackdaw-gateway' }, message })}\n`);
}
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, createRequire(file), loaded, file, dirname(file));

module.exports = { script, file };
