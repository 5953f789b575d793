export { buildSampleConfiguration } from './buildSampleConfiguration';
export { createFakeClock } from './createFakeClock';
export type { FakeClock } from './createFakeClock';
export { createMemoryObjectStore } from './createMemoryObjectStore';
export type { MemoryObjectStore } from './createMemoryObjectStore';
export { createMemoryTableStore } from './createMemoryTableStore';
export type { MemoryTableStore } from './createMemoryTableStore';
export { createSeededRandomness } from './createSeededRandomness';
