import { z } from 'zod';
import { TableSchema, VmListSchema } from '../../../adapters/settings';

/** Schema of the settings file of `jackdaw`, documented in docs/cli.md. */
export const OperatorSettingsSchema = z
  .strictObject({
    operator: z.strictObject({ name: z.string().min(1) }).optional(),
    table: TableSchema,
    vm_list: VmListSchema.optional(),
    peers: z.strictObject({ addresses: z.array(z.string()).default([]) }).prefault({}),
  })
  .transform((settings) => ({
    operator: settings.operator?.name ?? null,
    table: settings.table,
    vmList: settings.vm_list ?? null,
    peerAddresses: settings.peers.addresses,
  }));

/** Validated settings of the operator's tool. */
export type OperatorSettings = Readonly<z.output<typeof OperatorSettingsSchema>>;
