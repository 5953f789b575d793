import { z } from 'zod';
import {
  ListenSchema,
  ObjectsSchema,
  SecretSchema,
  TableSchema,
  VmListSchema,
  VmSchema,
} from '../../../adapters/settings';

/** Minimum length of a cursor key, against brute-force forgery of cursors. */
const MIN_CURSOR_KEY_CHARACTERS = 32;

const CursorKeySchema = SecretSchema.pipe(
  z.string().min(MIN_CURSOR_KEY_CHARACTERS, `shorter than ${MIN_CURSOR_KEY_CHARACTERS} characters`),
);

/** Schema of the settings file of `jackdaw-entry`, documented in examples/entry.toml. */
export const EntrySettingsSchema = z
  .strictObject({
    vm: VmSchema,
    callers: ListenSchema,
    peers: ListenSchema.extend({ seeds: z.array(z.string()).default([]) }),
    table: TableSchema,
    objects: ObjectsSchema,
    vm_list: VmListSchema,
    cursors: z.strictObject({ keys: z.tuple([CursorKeySchema], CursorKeySchema) }),
  })
  .transform((settings) => ({
    vm: settings.vm,
    callers: settings.callers,
    peers: settings.peers,
    table: settings.table,
    objects: settings.objects,
    vmList: settings.vm_list,
    cursorKeys: settings.cursors.keys,
  }));

/** Validated settings of an entry. */
export type EntrySettings = Readonly<z.output<typeof EntrySettingsSchema>>;
