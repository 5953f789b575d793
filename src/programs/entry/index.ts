export { startEntry } from './startEntry';
export { EntrySettingsSchema } from './types';
export type { Entry, EntryOverrides, EntrySettings, EntryStartError } from './types';
