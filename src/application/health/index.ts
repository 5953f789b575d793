export { createHealthRegistry, type HealthRegistryDependencies } from './createHealthRegistry';
