import type { Clock } from '../../../ports';
import type { Knowledge } from '../../types';

/** News sent in one message. */
export type News = Pick<
  Knowledge,
  'inferred' | 'limits' | 'members' | 'outcomes' | 'suspicions' | 'verdicts'
>;

/** Empty news. */
export const NO_NEWS: News = {
  suspicions: [],
  inferred: [],
  members: [],
  outcomes: [],
  verdicts: [],
  limits: [],
};

/** Dependencies of a news batcher. */
export interface NewsBatcherDependencies {
  readonly clock: Clock;
  /** Sends a batch to other VMs. */
  readonly sendNews: (news: News) => void;
}

/** Batches news for a short time, so that news arriving together is sent together. */
export interface NewsBatcher {
  /** Adds news to the next batch, except items relayed within the last second. */
  addNews(news: News): void;
  /** Records items as already known to the other VMs. */
  recordRelayed(news: News): void;
  stop(): void;
}

/** News arriving within this time is sent in one batch. */
const BATCH_MS = 50;

/** The same for new members: VMs join by the dozen within some hundred milliseconds. */
const BATCH_MEMBERS_MS = 200;

/**
 * The same item is relayed once within this time. When a whole availability zone fails, every VM
 * notices, and without this limit each would report all servers of the zone to all others.
 */
const DUPLICATE_WINDOW_MS = 1000;

/** Builds the key that identifies an item, by kind of news. */
const KEY_BUILDERS: { readonly [Kind in keyof News]: (one: News[Kind][number]) => string } = {
  suspicions: ({ server }) => server,
  inferred: ({ id }) => id,
  members: ({ vm }) => vm,
  outcomes: ({ fingerprint, hasCrashed, isConfirmed, isJudged = false, requestId, server }) =>
    `${fingerprint} ${requestId} ${server} ${hasCrashed} ${isConfirmed} ${isJudged}`,
  verdicts: ({ isStored, sequence, service, state }) =>
    `${service} ${sequence} ${state} ${isStored}`,
  limits: ({ limitPerS, maxRejectionsPerS, server }) =>
    `${server} ${limitPerS} ${maxRejectionsPerS}`,
};

const KINDS = Object.keys(KEY_BUILDERS) as (keyof News)[];

/** Builds news kind by kind. */
const buildNews = (
  build: <Kind extends keyof News>(kind: Kind) => readonly News[Kind][number][],
): News => Object.assign({}, NO_NEWS, ...KINDS.map((kind) => ({ [kind]: build(kind) }))) as News;

const listKeysOf = <Kind extends keyof News>(news: News, kind: Kind): string[] =>
  (news[kind] as readonly News[Kind][number][]).map(KEY_BUILDERS[kind]);

const listKeys = (news: News): string[] => KINDS.flatMap((kind) => listKeysOf(news, kind));

const countNews = (news: News): number => listKeys(news).length;

/** Adds a time to the age of each item that has one. */
export const addAges = (news: News, addedMs: number): News =>
  buildNews((kind) =>
    (news[kind] as readonly News[typeof kind][number][]).map((item) =>
      'ageMs' in item ? { ...item, ageMs: item.ageMs + addedMs } : item,
    ),
  );

/** Creates a news batcher with an empty batch. */
export const createNewsBatcher = ({ clock, sendNews }: NewsBatcherDependencies): NewsBatcher => {
  /** When an item was last relayed, by its key. */
  const relayedAtMs = new Map<string, number>();
  /** Ages are those at monotonic time 0, so that they are right at any time of sending. */
  let pending: News = NO_NEWS;
  let cancelTimer: (() => void) | null = null;
  let dueMs = Infinity;
  let isStopped = false;

  const dropExpired = (): void => {
    const untilMs = clock.readMonotonicMs() - DUPLICATE_WINDOW_MS;
    relayedAtMs.forEach((atMs, key) => {
      if (atMs <= untilMs) relayedAtMs.delete(key);
    });
  };

  /** Records items as relayed now; items relayed within the last second keep their time. */
  const recordRelayed = (news: News): void => {
    dropExpired();
    const nowMs = clock.readMonotonicMs();
    listKeys(news)
      .filter((key) => !relayedAtMs.has(key))
      .forEach((key) => relayedAtMs.set(key, nowMs));
  };

  const filterNew = (news: News): News =>
    buildNews((kind) => {
      const keys = listKeysOf(news, kind);
      return news[kind].filter((_, index) => !relayedAtMs.has(keys[index] ?? ''));
    });

  const schedule = (delayMs: number): void => {
    const nextMs = clock.readMonotonicMs() + delayMs;
    if (nextMs >= dueMs) return;
    cancelTimer?.();
    dueMs = nextMs;
    cancelTimer = clock.startTimer(delayMs, () => {
      const batch = pending;
      pending = NO_NEWS;
      dueMs = Infinity;
      cancelTimer = null;
      if (!isStopped) sendNews(addAges(batch, clock.readMonotonicMs()));
    });
  };

  return {
    addNews: (news) => {
      dropExpired();
      const fresh = filterNew(news);
      if (countNews(fresh) === 0) return;
      recordRelayed(fresh);
      const before = pending;
      const added = addAges(fresh, -clock.readMonotonicMs());
      pending = buildNews((kind) => [...before[kind], ...added[kind]]);
      schedule(countNews(fresh) > fresh.members.length ? BATCH_MS : BATCH_MEMBERS_MS);
    },
    recordRelayed,
    stop: () => {
      isStopped = true;
      cancelTimer?.();
    },
  };
};
