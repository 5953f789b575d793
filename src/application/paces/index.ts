export type { PacedServer, ServerPaces } from './types';
