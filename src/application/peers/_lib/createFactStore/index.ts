import type { Fact } from '../../../../domain/membership';

/** Facts for peers; each carries the change counter at which it came, so that only news is sent. */
export interface FactStore {
  /** Writes a fact in the place of the one with the same key. `from` is the VM it came from. */
  write(key: string, fact: Fact, from: string): void;
  remove(key: string): void;
  find(key: string): Fact | null;
  /** Monotonic time at which the fact was written here, in milliseconds, or null. */
  readWrittenAtMs(key: string): number | null;
  /** Facts that came after counter `since`, but for those that `receiver` itself sent. */
  listSince(since: number, receiver: string): readonly StoredFact[];
  readSequence(): number;
}

/** A fact with the VM that it came from. */
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

/** Facts that state an age grow older while they wait here. */
function addAge(fact: Fact, elapsedMs: number): Fact {
  return 'ageMs' in fact ? { ...fact, ageMs: Math.round(fact.ageMs + elapsedMs) } : fact;
}

/**
 * Creates an empty board.
 *
 * @param startSequence - first value of the change counter. Random, so that an acknowledgement
 * meant for an earlier process of this VM is told apart: it lies outside what this one has counted.
 */
export function createFactStore(startSequence: number, readNowMs: () => number): FactStore {
  const entries = new Map<string, Entry>();
  let sequence = startSequence;

  return {
    write: (key, fact, from) => {
      sequence += 1;
      // Re-inserting keeps the map in the order of change.
      entries.delete(key);
      entries.set(key, { fact, changedAt: sequence, from, atMs: readNowMs() });
    },
    remove: (key) => {
      entries.delete(key);
    },
    find: (key) => {
      const entry = entries.get(key);
      return entry === undefined ? null : addAge(entry.fact, readNowMs() - entry.atMs);
    },
    readWrittenAtMs: (key) => entries.get(key)?.atMs ?? null,
    listSince: (since, receiver) => {
      const known = since >= startSequence && since <= sequence ? since : 0;
      const nowMs = readNowMs();
      return [...entries.values()]
        .filter(({ changedAt, from }) => changedAt > known && from !== receiver)
        .map(({ fact, from, atMs }) => ({ fact: addAge(fact, nowMs - atMs), from }));
    },
    readSequence: () => sequence,
  };
}
