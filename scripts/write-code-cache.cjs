// Starts the bundled gateway on loopback, lets it serve for a moment, and writes what was compiled
// meanwhile as its code cache. Run by the build, with the flags of the deploy file: code compiled under
// other flags is not taken.
'use strict';

const { writeFileSync } = require('node:fs');
const { join } = require('node:path');

const target = join(__dirname, '..', 'target');
const { startWarmUp } = require(join(target, 'warm-up.cjs'));

/** Calls between VMs come by the second. */
const PEERS_MS = 2500;

const run = async () => {
  const { sendTraffic, settings } = await startWarmUp();
  const file = join(target, 'warm-up.toml');
  writeFileSync(file, settings);
  process.argv = [process.argv[0], process.argv[1], '--settings', file];
  const loaded = require(join(target, 'jackdaw-gateway.cjs'));
  await sendTraffic();
  await new Promise((resolve) => {
    setTimeout(resolve, PEERS_MS);
  });
  writeFileSync(`${loaded.file}.cache`, loaded.script.createCachedData());
  process.exit(0);
};

run().catch((error) => {
  console.error(error);
  process.exit(1);
});
