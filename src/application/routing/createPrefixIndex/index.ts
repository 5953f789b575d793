import { computePrefixTrust, MIN_PREFIX_TRUST } from '../../../domain/load';
import { PREFIX_CUT_CHARACTERS } from '../../../domain/routing';
import type { CacheEvent } from '../../../domain/types';
import type { Clock } from '../../ports';

/** Average characters per token; an estimate is enough to compare servers. */
const CHARACTERS_PER_TOKEN = 4;

const TOKENS_PER_BLOCK = PREFIX_CUT_CHARACTERS / CHARACTERS_PER_TOKEN;

/** Limit of the prefixes kept per server; the oldest are evicted first, as in its KV cache. */
const MAX_PREFIXES_PER_SERVER = 4096;

/** A lookup stops at this many servers: longest matches come first, so the best are included. */
const MAX_MATCHED_SERVERS = 8;

interface CachedPrefix {
  /** Events of the server known to be missed when this prefix was stored. */
  readonly missedBefore: number;
  readonly atMs: number;
}

interface ServerCache {
  /** Sequence number of the newest event recorded. */
  sequence: number;
  /** Events known to be missed, from gaps in the sequence numbers. */
  missed: number;
  readonly prefixes: Map<string, CachedPrefix>;
}

/** Index of the prompt prefixes that each server is believed to have in its KV cache. */
export interface PrefixIndex {
  /** Applies cache events; duplicates are ignored, a gap lowers the trust in earlier prefixes. */
  recordEvents(backendServer: string, events: readonly CacheEvent[]): void;
  /** Records prefixes that this VM has just sent to a server, ahead of its cache events. */
  recordSent(backendServer: string, prefixes: readonly string[]): void;
  /** Sequence number of the newest event recorded for a server; 0 if none. */
  readSequence(backendServer: string): number;
  /** Removes all data of a server, after a restart of its process. */
  removeServer(backendServer: string): void;
  /** Tokens of the prompt expected in the cache, by server; servers without any are omitted. */
  findCachedTokens(prefixes: readonly string[]): ReadonlyMap<string, number>;
}

/** Creates the index of cached prompt prefixes. */
export function createPrefixIndex({ clock }: { readonly clock: Clock }): PrefixIndex {
  const caches = new Map<string, ServerCache>();
  const serversByPrefix = new Map<string, Set<string>>();

  const readCache = (server: string): ServerCache => {
    const cache = caches.get(server) ?? { sequence: 0, missed: 0, prefixes: new Map() };
    caches.set(server, cache);
    return cache;
  };
  const removePrefix = (server: string, prefix: string): void => {
    caches.get(server)?.prefixes.delete(prefix);
    const servers = serversByPrefix.get(prefix);
    servers?.delete(server);
    if (servers?.size === 0) serversByPrefix.delete(prefix);
  };
  const addPrefix = (server: string, prefix: string): void => {
    const cache = readCache(server);
    cache.prefixes.delete(prefix);
    cache.prefixes.set(prefix, { missedBefore: cache.missed, atMs: clock.readMonotonicMs() });
    const servers = serversByPrefix.get(prefix);
    if (servers === undefined) serversByPrefix.set(prefix, new Set([server]));
    else servers.add(server);
    if (cache.prefixes.size <= MAX_PREFIXES_PER_SERVER) return;
    const [oldest] = cache.prefixes.keys();
    if (oldest !== undefined) removePrefix(server, oldest);
  };
  const removeAllPrefixes = (server: string): void =>
    [...(caches.get(server)?.prefixes.keys() ?? [])].forEach((prefix) =>
      removePrefix(server, prefix),
    );
  const eventHandlers: Readonly<
    Record<CacheEvent['kind'], (server: string, event: CacheEvent) => void>
  > = {
    stored: (server, event) => event.prefixes.forEach((prefix) => addPrefix(server, prefix)),
    removed: (server, event) => event.prefixes.forEach((prefix) => removePrefix(server, prefix)),
    cleared: removeAllPrefixes,
  };

  return {
    recordEvents: (server, events) => {
      const cache = readCache(server);
      [...events]
        .sort((left, right) => left.sequence - right.sequence)
        .filter(({ sequence }) => sequence > cache.sequence)
        .forEach((event) => {
          if (event.sequence <= cache.sequence) return;
          cache.missed += event.sequence - cache.sequence - 1;
          cache.sequence = event.sequence;
          eventHandlers[event.kind](server, event);
        });
    },
    recordSent: (server, prefixes) => prefixes.forEach((prefix) => addPrefix(server, prefix)),
    readSequence: (server) => caches.get(server)?.sequence ?? 0,
    removeServer: (server) => {
      removeAllPrefixes(server);
      caches.delete(server);
    },
    findCachedTokens: (prefixes) => {
      const found = new Map<string, number>();
      const nowMs = clock.readMonotonicMs();
      for (
        let index = prefixes.length - 1;
        index >= 0 && found.size < MAX_MATCHED_SERVERS;
        index -= 1
      ) {
        const prefix = prefixes[index] ?? '';
        serversByPrefix.get(prefix)?.forEach((server) => {
          if (found.has(server)) return;
          const cache = caches.get(server);
          const cached = cache?.prefixes.get(prefix);
          if (cache === undefined || cached === undefined) return;
          const trust = computePrefixTrust(cache.missed - cached.missedBefore, nowMs - cached.atMs);
          if (trust < MIN_PREFIX_TRUST) removePrefix(server, prefix);
          else found.set(server, (index + 1) * TOKENS_PER_BLOCK * trust);
        });
      }
      return found;
    },
  };
}
