export { EntrySettingsSchema } from './EntrySettings';
export type { EntrySettings } from './EntrySettings';
