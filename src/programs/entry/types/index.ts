export { EntrySettingsSchema } from './EntrySettings';
export type { EntrySettings } from './EntrySettings';
export type { Entry, EntryStartError } from './Entry';
export type { EntryOverrides } from './EntryOverrides';
