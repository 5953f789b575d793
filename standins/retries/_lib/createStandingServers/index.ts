import type { Clock, Randomness } from '../../../../src/application/ports';

/** Servers that read what they are sent, unless they stand still. */
export interface StandingServers {
  /** Sends a request to one of the servers, drawn at random; calls `handleRead` once it has read it. */
  send(delayMs: number, handleRead: (server: string) => void): string;
  /** Lets some servers stand still; they read what came meanwhile when they go on. */
  pauseSome(durationMs: number): void;
}

const SERVERS = 4;

interface StandingServer {
  readonly id: string;
  pausedUntilMs: number;
}

/** Creates servers that all run. */
export const createStandingServers = (
  clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>,
  randomness: Pick<Randomness, 'readFraction'>,
): StandingServers => {
  const servers = Array.from({ length: SERVERS }, (_, index): StandingServer => ({
    id: `i-${index}`,
    pausedUntilMs: -Infinity,
  }));
  const readOnceRunning = (server: StandingServer, handleRead: (id: string) => void): void => {
    const leftMs = server.pausedUntilMs - clock.readMonotonicMs();
    if (leftMs <= 0) handleRead(server.id);
    else clock.startTimer(leftMs, () => readOnceRunning(server, handleRead));
  };
  return {
    send: (delayMs, handleRead) => {
      const server = servers[Math.floor(randomness.readFraction() * SERVERS)] as StandingServer;
      clock.startTimer(delayMs, () => readOnceRunning(server, handleRead));
      return server.id;
    },
    pauseSome: (durationMs) => {
      const first = Math.floor(randomness.readFraction() * SERVERS);
      const untilMs = clock.readMonotonicMs() + durationMs;
      servers.slice(first).forEach((server) => Object.assign(server, { pausedUntilMs: untilMs }));
    },
  };
};
