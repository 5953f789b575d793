import type { ConnectionEnd } from '../../../src/domain/crashes';
import type { Clock } from '../../../src/application/ports';

/** What becomes of a server that runs the bad request, at which point of its response. */
export interface ServerFault {
  /** `dark`: its connections fall silent, and new ones are not established. */
  readonly how: 'closed' | 'dark' | 'reset';
  readonly progress: 'events' | 'head' | 'none';
}

/** What a VM hears of a run. */
export interface RunListener {
  readonly handleHead: () => void;
  readonly handleEvent: (event: number) => void;
  readonly handleEnd: (connection: ConnectionEnd) => void;
}

/** State of a server as one that tries to connect sees it. */
export type ServerState = 'dark' | 'gone' | 'up';

/** Servers in virtual time. */
export interface FailingServers {
  listIds(): readonly string[];
  readState(id: string): ServerState;
  /** Runs a request; the returned function ends the run. */
  startRun(id: string, isBad: boolean, listener: RunListener): () => void;
  /** Ends a server as `how` says. */
  crash(id: string, how: ServerFault['how']): void;
  /** Resets all connections of a server, which goes on. */
  resetConnections(id: string): void;
  /** When the bad request reached servers, and when these crashed, in order. */
  readonly arrivedAtMs: readonly number[];
  readonly crashedAtMs: readonly number[];
}

/** Options of the servers. */
export interface FailingServersOptions {
  readonly clock: Clock;
  readonly count: number;
  readonly fault: ServerFault;
  /** Called when a server's entry is removed, and when it has started under another id. */
  readonly handleGone: (id: string) => void;
  readonly handleStarted: (id: string) => void;
}

/** Time from the request to the head, and from one event to the next. */
const HEAD_MS = 40;
const EVENT_GAP_MS = 30;
export const EVENTS_PER_RUN = 4;

/** Time from a crash to the removal of the server's entry, and to its restart under another id. */
const LAPSE_MS = 1200;
const RESTART_MS = 3000;

/** Creates servers that crash under the bad request and start again. */
export const createFailingServers = ({
  clock,
  count,
  fault,
  handleGone,
  handleStarted,
}: FailingServersOptions): FailingServers => {
  /** By id of a server that runs: ends each of its runs. */
  const runsById = new Map<string, Set<(connection: ConnectionEnd) => void>>();
  const darkIds = new Set<string>();
  const arrivedAtMs: number[] = [];
  const crashedAtMs: number[] = [];
  let started = 0;

  const start = (): string => {
    const id = `i-${started}`;
    started += 1;
    runsById.set(id, new Set());
    return id;
  };
  Array.from({ length: count }, start);

  const endRuns = (id: string, connection: ConnectionEnd): void =>
    [...(runsById.get(id) ?? [])].forEach((end) => end(connection));

  const crash: FailingServers['crash'] = (id, how) => {
    if (!runsById.has(id)) return;
    crashedAtMs.push(clock.readMonotonicMs());
    endRuns(id, how === 'dark' ? 'silent' : how);
    runsById.delete(id);
    if (how === 'dark') darkIds.add(id);
    clock.startTimer(LAPSE_MS, () => handleGone(id));
    clock.startTimer(RESTART_MS, () => handleStarted(start()));
  };

  return {
    listIds: () => [...runsById.keys()],
    readState: (id) => {
      if (runsById.has(id)) return 'up';
      return darkIds.has(id) ? 'dark' : 'gone';
    },
    crash,
    resetConnections: (id) => endRuns(id, 'reset'),
    startRun: (id, isBad, { handleEnd, handleEvent, handleHead }) => {
      const runs = runsById.get(id) ?? new Set();
      let cancelTimer = (): void => undefined;
      const end = (connection: ConnectionEnd): void => {
        cancelTimer();
        runs.delete(end);
        if (connection !== 'silent') handleEnd(connection);
      };
      const isCrashing = (progress: ServerFault['progress']): boolean =>
        isBad && fault.progress === progress;
      const sendEvent = (event: number): void => {
        if (event > EVENTS_PER_RUN) return end('complete');
        if (event === 1 && isCrashing('head')) return crash(id, fault.how);
        if (event === 2 && isCrashing('events')) return crash(id, fault.how);
        handleEvent(event);
        cancelTimer = clock.startTimer(EVENT_GAP_MS, () => sendEvent(event + 1));
        return undefined;
      };
      runs.add(end);
      if (isBad) arrivedAtMs.push(clock.readMonotonicMs());
      cancelTimer = clock.startTimer(HEAD_MS, () => {
        if (isCrashing('none')) return crash(id, fault.how);
        handleHead();
        cancelTimer = clock.startTimer(EVENT_GAP_MS, () => sendEvent(1));
        return undefined;
      });
      return () => {
        cancelTimer();
        runs.delete(end);
      };
    },
    arrivedAtMs,
    crashedAtMs,
  };
};
