import { quantile } from 'simple-statistics';
import type { StreamRun } from '../../types';
import { recordPaceSample } from '../recordPaceSample';

/** Prefills of other prompts lengthen some gaps between events; the shortest ones show the pace. */
const UNDISTURBED_QUANTILE = 0.25;

/** Fewest gaps that tell a pace. */
const MIN_GAPS = 8;

/** Records the decode pace of a complete stream, if one server ran all of it. */
export const recordDecodeSample = (run: StreamRun): void => {
  const { request } = run.context;
  const [attempt] = run.attempts.values();
  const gapsMs = attempt?.scheduled?.eventGapsMs ?? [];
  const isWhole = run.arrivals.countSent() === 1 && request.lastEventId === null;
  if (!attempt || gapsMs.length < MIN_GAPS || !isWhole) return;
  recordPaceSample(run, attempt, {
    kind: 'decode',
    tokens: request.tokens?.maxOutput ?? 0,
    tookMs: quantile(gapsMs, UNDISTURBED_QUANTILE) * gapsMs.length,
  });
};
