export type { ApplyError } from './ApplyError';
export type { ApplyRequest } from './ApplyRequest';
export type { ConfigurationStoreError } from './ConfigurationStoreError';
