import { z } from 'zod';
import { ListenSchema, TableSchema, VmSchema } from '../../../adapters/settings';

/** Default limit of concurrent loads, for a weight store that serves a few loads per second. */
const DEFAULT_MAX_CONCURRENT_LOADS = 4;

/** Schema of the settings file of `jackdaw-keeper`, documented in examples/keeper.toml. */
export const KeeperSettingsSchema = z
  .strictObject({
    vm: VmSchema,
    monitor: ListenSchema,
    table: TableSchema,
    loads: z
      .strictObject({ max_concurrent: z.int().min(1).default(DEFAULT_MAX_CONCURRENT_LOADS) })
      .prefault({}),
  })
  .transform((settings) => ({
    vm: settings.vm,
    monitor: settings.monitor,
    table: settings.table,
    maxConcurrentLoads: settings.loads.max_concurrent,
  }));

/** Validated settings of a keeper. */
export type KeeperSettings = Readonly<z.output<typeof KeeperSettingsSchema>>;
