import type { Clock } from '../../../../src/application/ports';
import { computePrefixDigests } from '../../../../src/domain/routing';
import type { CacheEvent } from '../../../../src/domain/types';
import type { EngineSettings } from '../../types';

/** The engine's cache of prompt prefixes. */
export interface PrefixCache {
  /** Takes a prompt in; gives the part of it that was there already, 0 to 1. */
  addPrompt(promptText: string): number;
  /** Part of the memory in use, 0 to 1. */
  computeUse(): number;
  /** Events that are old enough to be published, without those left out as gaps. */
  listEvents(after: number): readonly CacheEvent[];
  clear(): void;
}

/** Creates a cache that drops the prefixes used longest ago, and publishes late and with gaps. */
export function createPrefixCache(
  settings: Pick<EngineSettings, 'cacheEntries' | 'cacheLagMs' | 'cacheGapEvery'>,
  clock: Clock,
): PrefixCache {
  const entries = new Set<string>();
  let events: { readonly atMs: number; readonly event: CacheEvent }[] = [];
  let sequence = 0;

  const publish = (kind: CacheEvent['kind'], prefixes: readonly string[]) => {
    sequence += 1;
    const isGap = settings.cacheGapEvery > 0 && sequence % settings.cacheGapEvery === 0;
    if (isGap) return;
    events.push({ atMs: clock.readMonotonicMs(), event: { sequence, kind, prefixes } });
  };
  const removeOldest = () => {
    const excess = [...entries].slice(0, Math.max(0, entries.size - settings.cacheEntries));
    if (excess.length === 0) return;
    excess.forEach((digest) => entries.delete(digest));
    publish('removed', excess);
  };

  return {
    addPrompt: (promptText) => {
      const digests = computePrefixDigests(promptText);
      const added = digests.filter((digest) => !entries.has(digest));
      digests.forEach((digest) => {
        entries.delete(digest);
        entries.add(digest);
      });
      if (added.length > 0) publish('stored', added);
      removeOldest();
      return digests.length === 0 ? 0 : 1 - added.length / digests.length;
    },
    computeUse: () => entries.size / settings.cacheEntries,
    listEvents: (after) => {
      const newestMs = clock.readMonotonicMs() - settings.cacheLagMs;
      const due = events.filter(({ atMs, event }) => atMs <= newestMs && event.sequence > after);
      return due.map(({ event }) => event);
    },
    clear: () => {
      entries.clear();
      events = [];
      sequence = 0;
      publish('cleared', []);
    },
  };
}
