import type { ServerReport } from '../types';

/**
 * Tells whether a server surely has no run of a request any more: it lists its runs, reads no
 * prompt, has none waiting, and this one is not among them.
 *
 * A server may lose an answer without closing the connection; nothing else tells.
 *
 * @example
 * isRunLost({ waiting: 0, running: 2, runIds: new Set(['a', 'b']), ... }, 'c'); // true
 */
export const isRunLost = (report: ServerReport, requestId: string): boolean =>
  report.runIds !== null &&
  !report.runIds.has(requestId) &&
  report.waiting === 0 &&
  report.running <= report.runIds.size;
