import { chooseOwners } from '../../../../src/domain/membership';
import type { LoadReport } from '../../../../src/domain/types';
import { createSeededRandomness } from '../../../../standins/fakes';
import { createTestRegion } from '../../../../tests/peers/_lib/createTestRegion';

/** Size of a region to measure. */
export interface RegionSize {
  readonly vms: number;
  /** Servers that report their load twice a second, each to two VMs; 0 for membership alone. */
  readonly servers: number;
}

/** Average traffic sent by one VM; an answer counts for the VM that sends it. */
export interface RegionTraffic extends RegionSize {
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
  /** Smallest number of VMs that any VM hears. */
  readonly heardLeast: number;
}

const WARM_UP_MS = 15_000;
const STEP_MS = 500;
const STEPS = 40;
const MS_PER_S = 1_000;
const POLLERS = 2;
const SLOTS = 8;

function buildReport(index: number, step: number, running: number, nowMs: number): LoadReport {
  return {
    backendServer: `engine-${index}`,
    sequence: step + 1,
    running,
    waiting: 0,
    slots: SLOTS,
    cacheUse: 0.5,
    tokensPerSecond: 100 * running,
    models: [{ model: 'review', version: '3', adapter: '' }],
    role: 'serve',
    leaving: false,
    fencingToken: 7,
    ageMs: 200,
    receivedAtMs: nowMs,
  };
}

/** Runs a region in this process on a fake clock and counts the bytes of its news. */
export async function measureRegion(size: RegionSize): Promise<RegionTraffic> {
  const region = createTestRegion();
  const { clock, vms } = region;
  const randomness = createSeededRandomness(size.vms);
  const names = Array.from({ length: size.vms }, (_, index) => `entry-${index}`);
  names.forEach((name) => region.startVm(name, { region: 'gt', seeds: [] }));
  region.announceAllVms();
  const reportLoads = (step: number): void => {
    for (let index = 0; index < size.servers; index += 1) {
      const running = Math.floor(randomness.readFraction() * (SLOTS + 1));
      const report = buildReport(index, step, running, clock.readMonotonicMs());
      const owners = chooseOwners(names, report.backendServer, POLLERS);
      vms
        .filter(({ name }) => owners.includes(name))
        .forEach(({ load }) => load.recordReport(report));
    }
  };
  const runSteps = async (from: number, count: number): Promise<void> => {
    for (let step = from; step < from + count; step += 1) {
      reportLoads(step);
      await clock.advanceAsync(STEP_MS);
    }
  };
  const warmUpSteps = WARM_UP_MS / STEP_MS;
  await runSteps(0, warmUpSteps);
  const before = { bytes: region.countBytes(), messages: region.countMessages() };
  await runSteps(warmUpSteps, STEPS);
  const seconds = (STEPS * STEP_MS) / MS_PER_S;
  const computePerVmRate = (total: number): number => Math.round(total / seconds / size.vms);
  const heard = vms.map(({ exchange }) => exchange.readFreshness().vmsHeard);
  region.stop();
  return {
    ...size,
    bytesPerSecond: computePerVmRate(region.countBytes() - before.bytes),
    messagesPerSecond: computePerVmRate(region.countMessages() - before.messages),
    heardLeast: Math.min(...heard),
  };
}
