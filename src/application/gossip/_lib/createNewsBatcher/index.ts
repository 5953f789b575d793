import type { Clock } from '../../../ports';
import type { Knowledge } from '../../types';

/** What is told at once. */
export type News = Pick<
  Knowledge,
  'inferred' | 'limits' | 'members' | 'outcomes' | 'suspicions' | 'verdicts'
>;

/** Nothing to tell. */
export const NO_NEWS: News = {
  suspicions: [],
  inferred: [],
  members: [],
  outcomes: [],
  verdicts: [],
  limits: [],
};

/** What a gatherer needs. */
export interface NewsBatcherDependencies {
  readonly clock: Clock;
  /** Tells others what was gathered. */
  readonly sendNews: (news: News) => void;
}

/** Gathers news for a moment, so that what comes together is told together. */
export interface NewsBatcher {
  /** Takes news that are to be told; those told within the last second are left out. */
  addNews(news: News): void;
  /** Takes note that others know of these already. */
  recordRelayed(news: News): void;
  stop(): void;
}

/** News that comes within this time goes out together. */
const GATHER_MS = 50;

/** VMs join by the dozen, within some hundred milliseconds. */
const GATHER_MEMBERS_MS = 200;

/**
 * The same news is passed on once in this time: an availability zone is lost as a whole, every VM
 * notices it, and each would tell all others of all its servers.
 */
const PASS_AGAIN_MS = 1000;

/** What tells two news of a kind apart. */
const KEYS: { readonly [Kind in keyof News]: (one: News[Kind][number]) => string } = {
  suspicions: ({ server }) => server,
  inferred: ({ id }) => id,
  members: ({ vm }) => vm,
  outcomes: ({ fingerprint, hasCrashed, server }) => `${fingerprint} ${server} ${hasCrashed}`,
  verdicts: ({ isStored, sequence, service, state }) =>
    `${service} ${sequence} ${state} ${isStored}`,
  limits: ({ limitPerS, server }) => `${server} ${limitPerS}`,
};

const KINDS = Object.keys(KEYS) as (keyof News)[];

/** Builds news kind by kind. */
const buildNews = (
  build: <Kind extends keyof News>(kind: Kind) => readonly News[Kind][number][],
): News => Object.assign({}, NO_NEWS, ...KINDS.map((kind) => ({ [kind]: build(kind) }))) as News;

const listKeysOf = <Kind extends keyof News>(news: News, kind: Kind): string[] =>
  (news[kind] as readonly News[Kind][number][]).map(KEYS[kind]);

const listKeys = (news: News): string[] => KINDS.flatMap((kind) => listKeysOf(news, kind));

const countNews = (news: News): number => listKeys(news).length;

/** Creates a gatherer; nothing waits to be told. */
export const createNewsBatcher = ({ clock, sendNews }: NewsBatcherDependencies): NewsBatcher => {
  /** By server or VM: when news of it was passed on last. */
  const passedAtMs = new Map<string, number>();
  let waiting: News = NO_NEWS;
  let cancelTimer: (() => void) | null = null;
  let dueMs = Infinity;
  let isStopped = false;

  const dropOldPassed = (): void => {
    const untilMs = clock.readMonotonicMs() - PASS_AGAIN_MS;
    passedAtMs.forEach((atMs, key) => {
      if (atMs <= untilMs) passedAtMs.delete(key);
    });
  };

  /** Those told within the last second stay as they are. */
  const recordPassed = (news: News): void => {
    dropOldPassed();
    const nowMs = clock.readMonotonicMs();
    listKeys(news)
      .filter((key) => !passedAtMs.has(key))
      .forEach((key) => passedAtMs.set(key, nowMs));
  };

  const filterNew = (news: News): News =>
    buildNews((kind) => {
      const keys = listKeysOf(news, kind);
      return news[kind].filter((_, index) => !passedAtMs.has(keys[index] ?? ''));
    });

  const schedule = (delayMs: number): void => {
    const nextMs = clock.readMonotonicMs() + delayMs;
    if (nextMs >= dueMs) return;
    cancelTimer?.();
    dueMs = nextMs;
    cancelTimer = clock.startTimer(delayMs, () => {
      const gathered = waiting;
      waiting = NO_NEWS;
      dueMs = Infinity;
      cancelTimer = null;
      if (!isStopped) sendNews(gathered);
    });
  };

  return {
    addNews: (news) => {
      dropOldPassed();
      const fresh = filterNew(news);
      if (countNews(fresh) === 0) return;
      recordPassed(fresh);
      const before = waiting;
      waiting = buildNews((kind) => [...before[kind], ...fresh[kind]]);
      schedule(countNews(fresh) > fresh.members.length ? GATHER_MS : GATHER_MEMBERS_MS);
    },
    recordRelayed: recordPassed,
    stop: () => {
      isStopped = true;
      cancelTimer?.();
    },
  };
};
