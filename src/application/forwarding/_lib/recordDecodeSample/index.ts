import type { StreamRun } from '../../types';
import { recordPaceSample } from '../recordPaceSample';

/** Records the decode pace of a complete stream, if one server ran all of it. */
export const recordDecodeSample = (run: StreamRun): void => {
  const { request } = run.context;
  const [attempt] = run.attempts.values();
  const firstEventAtMs = attempt?.scheduled?.firstEventAtMs ?? null;
  const isWhole = run.arrivedAttempts === 1 && request.lastEventId === null;
  if (!attempt || firstEventAtMs === null || !isWhole) return;
  recordPaceSample(run, attempt, {
    kind: 'decode',
    tokens: request.tokens?.maxOutput ?? 0,
    tookMs: run.dependencies.clock.readMonotonicMs() - firstEventAtMs,
  });
};
