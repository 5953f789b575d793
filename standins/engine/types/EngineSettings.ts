import type { LoadedModel } from '../../../src/domain/types';

/** Behaviour of a stand-in engine. */
export interface EngineSettings {
  readonly name: string;
  /** 0 for any free port. */
  readonly port: number;
  /** Generations that run at once. */
  readonly slots: number;
  /** Generations that may wait for a slot; further ones get 429. */
  readonly queueLimit: number;
  /** Time from the slot to the first token of a prompt that is not in the cache. */
  readonly firstTokenMs: number;
  /** Time between tokens on an idle engine. */
  readonly gapMs: number;
  /** Time for which a stream without a reader is kept. */
  readonly keepMs: number;
  /** Age of the figures that `/load` gives. */
  readonly loadLagMs: number;
  readonly cacheLagMs: number;
  /** Every nth cache event is left out; 0 leaves out none. */
  readonly cacheGapEvery: number;
  /** Prefix digests that the cache holds. */
  readonly cacheEntries: number;
  /** True: orders with an old fencing token are refused. */
  readonly checksFencing: boolean;
  readonly models: readonly LoadedModel[];
  readonly role: string;
  /** Fraction by which a gap grows when all slots are busy: 1 doubles it. */
  readonly slowdown: number;
  /** Base URL of the weight store; empty loads models at once. */
  readonly weightStoreUrl: string;
}

/** Default settings of a stand-in engine. */
export const DEFAULT_ENGINE_SETTINGS: EngineSettings = {
  name: 'engine',
  port: 0,
  slots: 8,
  queueLimit: 16,
  firstTokenMs: 50,
  gapMs: 10,
  keepMs: 30_000,
  loadLagMs: 0,
  cacheLagMs: 0,
  cacheGapEvery: 0,
  cacheEntries: 4096,
  checksFencing: true,
  models: [{ model: 'review', version: '1', adapter: '' }],
  role: 'serve',
  slowdown: 0,
  weightStoreUrl: '',
};
