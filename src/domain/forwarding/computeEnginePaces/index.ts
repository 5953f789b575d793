import { computeRelativePace, type ServerPace } from '../../paces';
import type { EnginePaces } from '../predictFirstEventMs';

/**
 * Computes the paces of one engine from those of its service and from what is known of its server.
 *
 * @param base - paces of the service's engines; 0 while unknown
 * @param own - pace of the server
 * @param usual - pace of the server's service
 */
export const computeEnginePaces = (
  base: EnginePaces,
  own: ServerPace,
  usual: ServerPace,
): EnginePaces => ({
  prefillMsPerToken: (own.prefillMsPerToken || base.prefillMsPerToken) * own.workFactor,
  runMs: base.runMs * computeRelativePace(own, usual, 'decodeMsPerToken').slowness,
});
