// Measures the processor time of the gateway process of one VM in three phases: start, idle and
// load. Needs a build of the gateway:
// `npx tsx tools/vm-cost/main.ts [vms] [lookups per second and VM] [streams per second and VM]`.
// The CPU profile of one process stays in the folder that the last line names.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { readProcessorMs } from './readProcessorMs';
import { sendCostLoad } from './sendCostLoad';
import { startCostFleet } from './startCostFleet';

const START_MS = 4000;
const IDLE_MS = 20_000;
const LOAD_S = 30;

const [vms = 14, lookupsPerS = 2, streamsPerS = 0.5] = process.argv.slice(2).map(Number);

const write = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const folder = mkdtempSync(join(tmpdir(), 'vm-cost-'));
const fleet = await startCostFleet(vms, folder);
let before = 0;

/** Writes the average processor time of a process since the previous phase. */
const report = (phase: string): void => {
  const used = fleet.pids.map(readProcessorMs).reduce((sum, one) => sum + one, 0) / vms;
  write(`${phase}: ${Math.round(used - before)} ms of processor time per VM`);
  before = used;
};

await wait(START_MS);
report(`start, ${START_MS / 1000} s`);
await wait(IDLE_MS);
report(`idle, ${IDLE_MS / 1000} s`);
const connections = fleet.countConnections();
const { answered, sent } = await sendCostLoad(fleet.callerPorts, {
  lookupsPerS,
  streamsPerS,
  seconds: LOAD_S,
});
report(`load, ${LOAD_S} s and until all requests have ended`);
write(`${answered} of ${sent} answered, ${fleet.countConnections() - connections} connections`);
await fleet.stop();
write(`profile: ${folder}`);
