import { setImmediate } from 'node:timers/promises';
import type { Clock } from '../../../../application/ports';

/** Dependencies of the detector. */
export interface LeaveDetectorDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  /** Whether the event loop runs late. */
  readonly isLate: () => boolean;
}

/** A process that has read no request for this long may have been paused. */
const PAUSE_MS = 100;

/** Time in which a process reads what arrived while it was paused. */
const CATCH_UP_MS = 250;

/** Turns of the event loop: the request is read, the end after it is read, the socket is closed. */
const LEAVE_TURNS = 4;

/**
 * Creates a wait for the ends of connections that have already arrived.
 *
 * The event loop reads the end of a connection some turns after the request before it. A process that
 * was paused or is overloaded waits for these before it sends the request on; others do not wait.
 */
export const createLeaveDetector = ({
  clock,
  isLate,
}: LeaveDetectorDependencies): (() => Promise<void>) => {
  let readAtMs = -Infinity;
  let lateUntilMs = -Infinity;
  return async () => {
    const nowMs = clock.readMonotonicMs();
    if (nowMs - readAtMs > PAUSE_MS || isLate()) lateUntilMs = nowMs + CATCH_UP_MS;
    readAtMs = nowMs;
    if (nowMs >= lateUntilMs) return;
    for (let turn = 0; turn < LEAVE_TURNS; turn += 1) await setImmediate();
  };
};
