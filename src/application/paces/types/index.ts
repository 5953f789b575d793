export type { PacedServer, ServerPaces } from './ServerPaces';
