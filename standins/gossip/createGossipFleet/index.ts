import { createCrashHistory, type CrashHistory } from '../../../src/application/crashes';
import {
  createGossip,
  type Gossip,
  type Knowledge,
  type RelayedRows,
  type SharedSuspicion,
} from '../../../src/application/gossip';
import type { RowChanges, SharedRow } from '../../../src/application/ports';
import { waitDelay } from '../../../src/application/time';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../fakes';

/** Creates a follower that starts with the given rows. */
const createRelayedRows = (rows: readonly SharedRow[], isReachable: boolean): RelayedRows => {
  const held = new Map(rows.map((row) => [row.key, row]));
  let version = rows.reduce((newest, row) => Math.max(newest, row.version), 0);
  return {
    readVersion: () => version,
    listChanges: (after) => ({
      rows: [...held.values()].filter((row) => row.version > after),
      version,
    }),
    mergeChanges: (changes: RowChanges, after) => {
      changes.rows.forEach((row) => held.set(row.key, row));
      if (after <= version) version = Math.max(version, changes.version);
    },
    isStoreReachable: () => isReachable,
  };
};

/** Options of the fleet. */
export interface GossipFleetOptions {
  /** Time that a message takes one way; none by default. */
  readonly transitMs?: number | undefined;
}

/** Creates VMs that can all reach each other, except those that the test adds to `cut`. */
export const createGossipFleet = (
  names: readonly string[],
  rowsByVm: Readonly<Record<string, SharedRow[]>>,
  hasAnsweredSince: (vm: string, server: string, atMs: number) => boolean = () => false,
  { transitMs = 0 }: GossipFleetOptions = {},
) => {
  const clock = createFakeClock();
  const cut = new Set<string>();
  const gossips = new Map<string, Gossip>();
  const followers = new Map<string, RelayedRows>();
  const suspicions: { readonly vm: string; readonly server: string }[] = [];
  const inferred: string[] = [];
  const histories = new Map<string, CrashHistory>();
  let calls = 0;
  const addVm = (vm: string, index: number): void => {
    const follower = createRelayedRows(rowsByVm[vm] ?? [], (rowsByVm[vm] ?? []).length > 0);
    followers.set(vm, follower);
    const history = createCrashHistory({
      clock,
      log: QUIET_LOG,
      hasAnsweredSince: (server, atMs) => hasAnsweredSince(vm, server, atMs),
      publishOutcome: (outcome) => gossips.get(vm)?.sendOutcome(outcome),
      handleQuarantine: () => undefined,
    });
    histories.set(vm, history);
    gossips.set(
      vm,
      createGossip({
        self: { vm, address: vm, availabilityZone: 'z1', cores: 0.3 },
        seedAddresses: [names[0] as string],
        limits: { mergeLimit: () => false, listLimits: () => [] },
        calls: {
          exchangeKnowledge: async (address: string, knowledge: Knowledge) => {
            calls += 1;
            if (cut.has(vm) || cut.has(address)) return null;
            if (transitMs > 0) await waitDelay(clock, transitMs);
            const answer = gossips.get(address)?.handleKnowledge(knowledge) ?? null;
            if (transitMs > 0) await waitDelay(clock, transitMs);
            return answer;
          },
        },
        followers: new Map([['t', follower]]),
        clock,
        randomness: createSeededRandomness(index + 1),
        log: QUIET_LOG,
        outcomes: history,
        verdicts: { listVerdicts: () => [], mergeVerdict: () => false },
        handleInferred: ({ id }) => inferred.push(`${vm} ${id}`),
        handleSuspicion: ({ server }: SharedSuspicion) => suspicions.push({ vm, server }),
      }),
    );
  };
  names.forEach(addVm);
  const stop = (): void => gossips.forEach((gossip) => gossip.stop());
  const countCalls = (): number => calls;
  return {
    addVm,
    clock,
    countCalls,
    cut,
    followers,
    gossips,
    histories,
    inferred,
    stop,
    suspicions,
  };
};
