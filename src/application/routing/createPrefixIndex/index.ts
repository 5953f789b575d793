import { computePrefixTrust, MIN_PREFIX_TRUST } from '../../../domain/load';
import { PREFIX_CUT_CHARACTERS } from '../../../domain/routing';
import type { CacheEvent } from '../../../domain/types';
import type { Clock } from '../../ports';

/** Characters a token stands for on average; an estimate is enough to compare servers. */
const CHARACTERS_PER_TOKEN = 4;

const TOKENS_PER_CUT = PREFIX_CUT_CHARACTERS / CHARACTERS_PER_TOKEN;

/** Prefixes kept for one server; the oldest go first, as they do in its cache. */
const MAX_PREFIXES_PER_SERVER = 4096;

/** Servers looked for: the longest matches come first, and a choice among these is enough. */
const MAX_FOUND = 8;

interface HeldPrefix {
  /** Events of the server known to be missed when this one was stored. */
  readonly missedBefore: number;
  readonly atMs: number;
}

interface ServerCache {
  sequence: number;
  missed: number;
  readonly held: Map<string, HeldPrefix>;
}

/** Which servers are thought to hold which prompt prefixes. */
export interface PrefixIndex {
  /** Takes events; repeated ones change nothing, a gap lowers the trust in all that was held. */
  recordEvents(backendServer: string, events: readonly CacheEvent[]): void;
  /** Notes prefixes that this VM has just sent there: its events come later. */
  recordSent(backendServer: string, prefixes: readonly string[]): void;
  /** Newest event taken of a server; 0 if none. */
  readSequence(backendServer: string): number;
  /** Forgets a server whose process is a new one. */
  removeServer(backendServer: string): void;
  /** Tokens of the prompt expected in the cache, by server; servers without any are left out. */
  findCachedTokens(prefixes: readonly string[]): ReadonlyMap<string, number>;
}

/** Creates the index of cached prompt prefixes. */
export function createPrefixIndex({ clock }: { readonly clock: Clock }): PrefixIndex {
  const caches = new Map<string, ServerCache>();
  const holders = new Map<string, Set<string>>();

  const readCache = (server: string): ServerCache => {
    const cache = caches.get(server) ?? { sequence: 0, missed: 0, held: new Map() };
    caches.set(server, cache);
    return cache;
  };
  const removePrefix = (server: string, prefix: string): void => {
    caches.get(server)?.held.delete(prefix);
    const servers = holders.get(prefix);
    servers?.delete(server);
    if (servers?.size === 0) holders.delete(prefix);
  };
  const addPrefix = (server: string, prefix: string): void => {
    const cache = readCache(server);
    cache.held.delete(prefix);
    cache.held.set(prefix, { missedBefore: cache.missed, atMs: clock.readMonotonicMs() });
    const servers = holders.get(prefix);
    if (servers === undefined) holders.set(prefix, new Set([server]));
    else servers.add(server);
    if (cache.held.size <= MAX_PREFIXES_PER_SERVER) return;
    const [oldest] = cache.held.keys();
    if (oldest !== undefined) removePrefix(server, oldest);
  };
  const removeAll = (server: string): void =>
    [...(caches.get(server)?.held.keys() ?? [])].forEach((prefix) => removePrefix(server, prefix));
  const handlers: Readonly<
    Record<CacheEvent['kind'], (server: string, event: CacheEvent) => void>
  > = {
    stored: (server, event) => event.prefixes.forEach((prefix) => addPrefix(server, prefix)),
    removed: (server, event) => event.prefixes.forEach((prefix) => removePrefix(server, prefix)),
    cleared: removeAll,
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
          handlers[event.kind](server, event);
        });
    },
    recordSent: (server, prefixes) => prefixes.forEach((prefix) => addPrefix(server, prefix)),
    readSequence: (server) => caches.get(server)?.sequence ?? 0,
    removeServer: (server) => {
      removeAll(server);
      caches.delete(server);
    },
    findCachedTokens: (prefixes) => {
      const found = new Map<string, number>();
      const nowMs = clock.readMonotonicMs();
      for (let index = prefixes.length - 1; index >= 0 && found.size < MAX_FOUND; index -= 1) {
        const prefix = prefixes[index] ?? '';
        holders.get(prefix)?.forEach((server) => {
          if (found.has(server)) return;
          const cache = caches.get(server);
          const held = cache?.held.get(prefix);
          if (cache === undefined || held === undefined) return;
          const trust = computePrefixTrust(cache.missed - held.missedBefore, nowMs - held.atMs);
          if (trust < MIN_PREFIX_TRUST) removePrefix(server, prefix);
          else found.set(server, (index + 1) * TOKENS_PER_CUT * trust);
        });
      }
      return found;
    },
  };
}
