import type { Fact } from '../../../../domain/membership';

/** Facts for peers, each with the change counter of its write, so that only changes are sent. */
export interface FactStore {
  /** Writes a fact, replacing the one with the same key. `from` is the VM that sent the fact. */
  write(key: string, fact: Fact, from: string): void;
  remove(key: string): void;
  find(key: string): Fact | null;
  /** Monotonic time at which the fact was written, in milliseconds, or null. */
  readWrittenAtMs(key: string): number | null;
  /** Lists the facts written after counter `since`, except those that `receiver` sent itself. */
  listSince(since: number, receiver: string): readonly StoredFact[];
  readSequence(): number;
}

/** A fact with the VM that sent it. */
export interface StoredFact {
  readonly fact: Fact;
  readonly from: string;
}

interface Entry {
  readonly fact: Fact;
  readonly changedAt: number;
  readonly from: string;
  readonly atMs: number;
}

/** Adds the time since the write to a fact that carries an age. */
function addElapsed(fact: Fact, elapsedMs: number): Fact {
  return 'ageMs' in fact ? { ...fact, ageMs: Math.round(fact.ageMs + elapsedMs) } : fact;
}

/**
 * Creates an empty fact store.
 *
 * @param startSequence - first value of the change counter. Random, so that an acknowledgement
 * meant for an earlier process of this VM is recognised: it lies outside this process's range.
 */
export function createFactStore(startSequence: number, readNowMs: () => number): FactStore {
  const entries = new Map<string, Entry>();
  let sequence = startSequence;

  return {
    write: (key, fact, from) => {
      sequence += 1;
      // Deleted first, so that the map stays in the order of changes.
      entries.delete(key);
      entries.set(key, { fact, changedAt: sequence, from, atMs: readNowMs() });
    },
    remove: (key) => {
      entries.delete(key);
    },
    find: (key) => {
      const entry = entries.get(key);
      return entry === undefined ? null : addElapsed(entry.fact, readNowMs() - entry.atMs);
    },
    readWrittenAtMs: (key) => entries.get(key)?.atMs ?? null,
    listSince: (since, receiver) => {
      const known = since >= startSequence && since <= sequence ? since : 0;
      const nowMs = readNowMs();
      return [...entries.values()]
        .filter(({ changedAt, from }) => changedAt > known && from !== receiver)
        .map(({ fact, from, atMs }) => ({ fact: addElapsed(fact, nowMs - atMs), from }));
    },
    readSequence: () => sequence,
  };
}
