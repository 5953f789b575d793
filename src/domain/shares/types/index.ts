export type { ShareHolding, ShareLedger } from './ShareLedger';
