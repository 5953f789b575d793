// Starts the bundled gateway on loopback, sends traffic through it, and writes the functions
// compiled so far as its code cache. The build runs this script with the flags of the deploy file,
// since V8 rejects a cache that was made under other flags.
'use strict';

const { writeFileSync } = require('node:fs');
const { join } = require('node:path');

const target = join(__dirname, '..', 'target');
const { startWarmUp } = require(join(target, 'warm-up.cjs'));

/** Time for a few calls between VMs, which are about a second apart. */
const PEER_CALLS_MS = 2500;

const run = async () => {
  const { sendTraffic, settings } = await startWarmUp();
  const file = join(target, 'warm-up.toml');
  writeFileSync(file, settings);
  process.argv = [process.argv[0], process.argv[1], '--settings', file];
  const loaded = require(join(target, 'jackdaw-gateway.cjs'));
  await sendTraffic();
  await new Promise((resolve) => {
    setTimeout(resolve, PEER_CALLS_MS);
  });
  writeFileSync(`${loaded.file}.cache`, loaded.script.createCachedData());
  process.exit(0);
};

run().catch((error) => {
  console.error(error);
  process.exit(1);
});
