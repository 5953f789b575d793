export { applyConfiguration } from './applyConfiguration';
export { createConfigurationFollower, POLL_INTERVAL_MS } from './createConfigurationFollower';
export type {
  ConfigurationFollower,
  ConfigurationFollowerDependencies,
} from './createConfigurationFollower';
export { listConfigurationRows } from './listConfigurationRows';
export { CONFIGURATION_PARTITION } from './partition';
export { readNewestRow } from './readNewestRow';
export { readVersionRow } from './readVersionRow';
export type { ApplyError, ApplyRequest, ConfigurationStoreError } from './types';
export { waitForVersion } from './waitForVersion';
export type {
  TargetVm,
  LaggingVm,
  VersionProgress,
  WaitForVersionDependencies,
} from './waitForVersion';
