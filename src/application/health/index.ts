export { createHealthRegistry, type HealthRegistryDependencies } from './createHealthRegistry';
export { createProber, type Prober, type ProberDependencies } from './createProber';
