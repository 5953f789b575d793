// Measures the processor time of the gateway process of one VM in four phases: start, idle, load, and
// load while most servers of a zone crash every few seconds. Needs a build of the gateway:
// `npx tsx tools/vm-cost/main.ts [vms] [lookups per second and VM] [streams per second and VM]`.
// The CPU profile of one process stays in the folder that the last line names.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { startZoneLosses } from '../_lib/startZoneLosses';
import { readProcessorMs } from './readProcessorMs';
import { sendCostLoad } from './sendCostLoad';
import { startCostFleet } from './startCostFleet';

const START_MS = 4000;
const IDLE_MS = 20_000;
const LOAD_S = 30;
const ZONE_LOSS_INTERVAL_MS = 6000;

const [vms = 14, lookupsPerS = 2, streamsPerS = 0.5] = process.argv.slice(2).map(Number);

const write = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const folder = mkdtempSync(join(tmpdir(), 'vm-cost-'));
const fleet = await startCostFleet(vms, folder);
let before = 0;

/** Writes the average processor time of a process since the previous phase. */
const report = (phase: string): void => {
  const used =
    fleet
      .listPids()
      .map(readProcessorMs)
      .reduce((sum, one) => sum + one, 0) / vms;
  write(`${phase}: ${Math.round(used - before)} ms of processor time per VM`);
  before = used;
};

const playLoad = async (phase: string): Promise<void> => {
  const connections = fleet.countConnections();
  const { answered, sent } = await sendCostLoad(fleet.callerPorts, {
    lookupsPerS,
    streamsPerS,
    seconds: LOAD_S,
  });
  report(`${phase}, ${LOAD_S} s and until all requests have ended`);
  write(`${answered} of ${sent} answered, ${fleet.countConnections() - connections} connections`);
};

await wait(START_MS);
report(`start, ${START_MS / 1000} s`);
await wait(IDLE_MS);
report(`idle, ${IDLE_MS / 1000} s`);
await playLoad('load');
const stopLosses = startZoneLosses(fleet, ZONE_LOSS_INTERVAL_MS);
await playLoad('load with crashes');
stopLosses();
await fleet.stop();
write(`profile: ${folder}`);
