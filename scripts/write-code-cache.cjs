// Starts the bundled gateway on free ports of loopback, before a store that is not there, and writes
// what was compiled meanwhile as its code cache. Run by the build, with the flags of the deploy file:
// code compiled under other flags is not taken.
'use strict';

const { writeFileSync } = require('node:fs');
const { join } = require('node:path');

/** By then the gateway listens, and has tried its store. */
const WARM_MS = 1000;

const target = join(__dirname, '..', 'target');
const settings = join(target, 'warm-up.toml');
writeFileSync(
  settings,
  `node_name = "build"
ip = "127.0.0.1"
zone = "build"
internal_ports = [0, 0]
[listen]
frontend = "127.0.0.1:0"
readiness = "127.0.0.1:0"
control_plane = "127.0.0.1:0"
[platform]
address = "127.0.0.1:9"
`,
);
process.argv = [process.argv[0], process.argv[1], '--settings', settings];
const { file, script } = require(join(target, 'jackdaw-gateway.cjs'));
setTimeout(() => {
  writeFileSync(`${file}.cache`, script.createCachedData());
  process.exit(0);
}, WARM_MS);
