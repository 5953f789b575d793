export { createEntryMetrics } from './createEntryMetrics';
export type { EntryGauges, EntryMetrics } from './createEntryMetrics';
