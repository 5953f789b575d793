import type { ServerPaces } from '../../../src/application/paces';
import type { ServerPace } from '../../../src/domain/paces';

/** Creates the paces of servers that all work at one pace, whatever is recorded. */
export const createFixedPaces = (pace: ServerPace): ServerPaces => ({
  record: () => undefined,
  recordWorkFactor: () => undefined,
  readPace: () => pace,
  readServicePace: () => pace,
  isUneven: () => false,
  forgetServer: () => undefined,
});
