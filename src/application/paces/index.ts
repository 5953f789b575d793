export { createServerPaces } from './createServerPaces';
export type { PacedServer, ServerPaces } from './types';
