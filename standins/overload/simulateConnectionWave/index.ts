import type { Clock } from '../../../src/application/ports';
import { createFakeClock, createSeededRandomness } from '../../fakes';
import { createSimulatedProcessor, type SimulatedProcessor } from '../createSimulatedProcessor';

/** New connections to the VMs of a zone, most of them to one VM for a time. */
export interface ConnectionWave {
  readonly seed: number;
  readonly vms: number;
  /** New connections a second to all VMs; each carries one request. */
  readonly connectionsPerS: number;
  /** During the wave clients open this many times as many. */
  readonly factor: number;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly durationMs: number;
  /** Creates what decides whether a VM reads a new connection; by default all are read. */
  readonly createGate?: (clock: SimulatedProcessor['clock']) => {
    acceptConnection(): boolean;
  };
}

/** A request and what became of its first try that a VM has read. */
export interface WaveRequest {
  readonly atMs: number;
  /** Connections that were closed with the request unread. */
  readonly unreadTries: number;
  /** True if it was served within the deadline; null if no VM has read it. */
  readonly isServed: boolean | null;
}

/** Processor time of a connection that is closed unread, and of one whose request is served. */
const ACCEPT_COST_MS = 0.2;
const REQUEST_COST_MS = 10;

/** Time that the server takes. */
const SERVICE_MS = 20;

const DEADLINE_MS = 600;

/** Retries of a client, each on a new connection, at another VM. */
const MAX_RETRIES = 3;
const RETRY_MS = 20;

const drawAnother = (index: number, vms: number, draw: number): number =>
  vms === 1 ? 0 : (index + 1 + Math.floor(draw * (vms - 1))) % vms;

/** Simulates a wave of connections to one VM in virtual time. */
export const simulateConnectionWave = async (
  wave: ConnectionWave,
): Promise<readonly WaveRequest[]> => {
  const clock: Clock & ReturnType<typeof createFakeClock> = createFakeClock();
  const randomness = createSeededRandomness(wave.seed);
  const vms = Array.from({ length: wave.vms }, () => {
    const processor = createSimulatedProcessor(clock);
    return {
      processor,
      gate: wave.createGate?.(processor.clock) ?? { acceptConnection: () => true },
    };
  });
  const requests: WaveRequest[] = [];

  const send = (index: number, request: WaveRequest): void => {
    const { gate, processor } = vms[index] as (typeof vms)[number];
    processor.run(ACCEPT_COST_MS, () => {
      if (!gate.acceptConnection()) {
        Object.assign(request, { unreadTries: request.unreadTries + 1 });
        if (request.unreadTries > MAX_RETRIES) return;
        const next = drawAnother(index, wave.vms, randomness.readFraction());
        clock.startTimer(RETRY_MS, () => send(next, request));
        return;
      }
      Object.assign(request, { isServed: false });
      processor.run(REQUEST_COST_MS / 2, () =>
        clock.startTimer(SERVICE_MS, () =>
          processor.run(REQUEST_COST_MS / 2, () =>
            Object.assign(request, {
              isServed: clock.readMonotonicMs() - request.atMs <= DEADLINE_MS,
            }),
          ),
        ),
      );
    });
  };

  const startNext = (): void => {
    const atMs = clock.readMonotonicMs();
    const isWave = atMs >= wave.fromMs && atMs < wave.untilMs;
    const perS = wave.connectionsPerS * (isWave ? wave.factor : 1);
    const request = { atMs, unreadTries: 0, isServed: null };
    requests.push(request);
    send(isWave ? 0 : Math.floor(randomness.readFraction() * wave.vms), request);
    clock.startTimer((-Math.log(1 - randomness.readFraction()) * 1000) / perS, startNext);
  };
  startNext();
  for (let atMs = 0; atMs < wave.durationMs; atMs += 1000) await clock.advanceAsync(1000);
  return requests;
};
