import test from 'ava';
import fc from 'fast-check';
import { err, ok } from 'neverthrow';
import {
  applyConfiguration,
  createConfigurationFollower,
  listConfigurationRows,
  type ConfigurationFollower,
} from '../../src/application/configuration';
import type { TableStore } from '../../src/application/ports';
import { encodeConfiguration } from '../../src/domain/configuration';
import {
  buildSampleConfiguration,
  createFakeClock,
  createMemoryTableStore,
  createSeededRandomness,
  type MemoryTableStore,
} from '../../standins/fakes';

const SEED = 5;
const RUNS = 150;
const VMS = 3;
const silentLog = { info: () => {}, warn: () => {}, error: () => {} };

type Step =
  | { readonly kind: 'apply'; readonly operators: number }
  | { readonly kind: 'lose' | 'drop' | 'outage' | 'heal' | 'old-reads' }
  | { readonly kind: 'advance'; readonly durationMs: number }
  | { readonly kind: 'restart' | 'tell'; readonly vm: number; readonly to: number };

const vm = fc.nat({ max: VMS - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('apply' as const), operators: fc.integer({ min: 1, max: 2 }) }),
  fc.record({ kind: fc.constantFrom('lose', 'drop', 'outage', 'heal', 'old-reads') }),
  fc.record({
    kind: fc.constant('advance' as const),
    durationMs: fc.integer({ min: 1, max: 3_000 }),
  }),
  fc.record({ kind: fc.constantFrom('restart' as const, 'tell' as const), vm, to: vm }),
);

/** Gives reads as they were when it was last told to, like a replica that lags. */
function createLaggingTable(table: MemoryTableStore) {
  let shown = Number.POSITIVE_INFINITY;
  const isShown = (sort: string): boolean => Number(sort) <= shown;
  const lagging: TableStore = {
    ...table,
    readItem: async (partition, sort) =>
      isShown(sort) ? table.readItem(partition, sort) : ok(null),
    listItems: async (partition, options) =>
      (await table.listItems(partition, { ...options, limit: 99 })).map((items) =>
        items.filter(({ sort }) => isShown(sort)).slice(0, options.limit),
      ),
  };
  return {
    lagging,
    setShown: (version: number): void => {
      shown = version;
    },
  };
}

/** Runs the steps; gives what went wrong, or an empty text. */
async function runSteps(
  steps: readonly Step[],
  seedFault: (table: MemoryTableStore) => TableStore,
): Promise<string> {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(SEED);
  const memory = createMemoryTableStore();
  const { lagging, setShown } = createLaggingTable(memory);
  const written = seedFault(memory);
  const faults: string[] = [];
  const outcomes = new Map<string, string>();
  const applying: Promise<unknown>[] = [];
  const followers: ConfigurationFollower[] = [];

  const start = (index: number): void => {
    let last = 0;
    followers[index]?.stop();
    const follower = createConfigurationFollower({
      table: lagging,
      clock,
      randomness,
      log: silentLog,
      peers: {
        readConfiguration: async (address, newerThan) => {
          const peer = followers[Number(address)];
          return peer === undefined
            ? err({ kind: 'unreachable', reason: 'none' })
            : ok(peer.readEncoded(newerThan));
        },
      },
    });
    follower.addListener(({ version }) => {
      if (version <= last) faults.push(`vm ${index} went from ${last} to ${version}`);
      last = version;
    });
    followers[index] = follower;
    follower.start();
  };
  const apply = (name: string): void => {
    const expectedVersion = Math.max(...followers.map((follower) => follower.readVersion()));
    const request = {
      configuration: buildSampleConfiguration({ deployment: name }),
      expectedVersion,
      appliedBy: name,
      comment: '',
    };
    const applied = applyConfiguration({ table: written, clock, randomness }, request);
    applying.push(
      applied.then((outcome) => outcomes.set(name, outcome.isOk() ? 'ok' : outcome.error.kind)),
    );
  };
  const readRows = async () => (await listConfigurationRows(memory, 99)).unwrapOr([]);

  Array.from({ length: VMS }, (_, index) => start(index));
  for (const [index, taken] of steps.entries()) {
    if (taken.kind === 'apply') {
      Array.from({ length: taken.operators }, (_, one) => apply(`operator-${index}-${one}`));
    } else if (taken.kind === 'advance') await clock.advanceAsync(taken.durationMs);
    else if (taken.kind === 'restart') start(taken.vm);
    else if (taken.kind === 'tell') {
      const version = followers[taken.vm]?.readVersion() ?? 0;
      followers[taken.to]?.recordPeerVersion(version, { vm: '', peerAddress: String(taken.vm) });
    } else if (taken.kind === 'lose') memory.loseNextAnswers(1);
    else if (taken.kind === 'drop') memory.dropNextWrites(1);
    else if (taken.kind === 'outage') memory.setOutage('unavailable');
    else if (taken.kind === 'heal') memory.setOutage('none');
    else setShown((await readRows())[0]?.version ?? 0);
    await clock.advanceAsync(1);
  }
  memory.setOutage('none');
  setShown(Number.POSITIVE_INFINITY);
  await clock.advanceAsync(30_000);
  await Promise.all(applying);
  followers.forEach((follower) => follower.stop());

  const rows = await readRows();
  const holders = new Set(rows.map(({ appliedBy }) => appliedBy));
  outcomes.forEach((outcome, name) => {
    const isThere = holders.has(name);
    if (outcome === 'ok' && !isThere) faults.push(`accepted change of ${name} is lost`);
    if (outcome !== 'ok' && outcome !== 'unknown' && isThere)
      faults.push(`${name} was told ${outcome} and is in force`);
  });
  const newest = rows[0];
  followers.forEach((follower, index) => {
    const held = follower.readCurrent();
    const isNewest =
      newest === undefined
        ? held === null
        : held !== null &&
          held.version === newest.version &&
          encodeConfiguration(held.configuration) === encodeConfiguration(newest.configuration);
    if (!isNewest) faults.push(`vm ${index} ends at ${held?.version}, not ${newest?.version}`);
  });
  return faults.join('; ');
}

function checkRules(seedFault: (table: MemoryTableStore) => TableStore) {
  const steps = fc.array(step, { minLength: 5, maxLength: 25 });
  const property = fc.asyncProperty(steps, async (taken) => {
    const fault = await runSteps(taken, seedFault);
    if (fault !== '') throw new Error(fault);
  });
  return fc.check(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
}

// Two operators, three VMs, lost answers and requests, outages, replicas that lag and restarts in
// any order: an accepted change stays, an operator is told the truth, versions rise only, and all
// VMs end at the newest version.
test('configurations keep their promises in any order of events', async (t) => {
  const checked = await checkRules((table) => table);
  t.false(checked.failed, String(checked.errorInstance));
});

test('the check finds a table that ignores the condition, and a lost answer taken as failure', async (t) => {
  const unconditional = await checkRules((table) => ({
    ...table,
    writeItem: (item) => table.writeItem(item, { kind: 'any' }),
  }));
  t.true(unconditional.failed);
  const withoutAmbiguity = await checkRules((table) => ({
    ...table,
    writeItem: async (item, condition) =>
      (await table.writeItem(item, condition)).mapErr((error) =>
        error.kind === 'ambiguous' ? { kind: 'invalid', reason: 'taken as failed' } : error,
      ),
  }));
  t.true(withoutAmbiguity.failed);
});
