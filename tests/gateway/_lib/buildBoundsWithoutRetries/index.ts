import type { GatewaySettings } from '../../../../src/domain/forwarding';
import { buildGatewaySettings } from '../../../../standins/gateway';

/** Builds the usual bounds of a test gateway, but for retries: there are none. */
export const buildBoundsWithoutRetries = (): GatewaySettings['bounds'] => ({
  ...buildGatewaySettings('').bounds,
  retryRatio: 0,
  retryExtra: 0,
});
