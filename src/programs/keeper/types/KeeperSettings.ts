import { z } from 'zod';
import { ListenSchema, TableSchema, VmSchema } from '../../../adapters/settings';

/** Loads at once when the settings name no limit: small enough for a weight store of a few a second. */
const DEFAULT_MAX_CONCURRENT_LOADS = 4;

/** Settings file of `jackdaw-keeper`; documented in examples/keeper.toml. */
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

/** Checked settings of a keeper. */
export type KeeperSettings = Readonly<z.output<typeof KeeperSettingsSchema>>;
