export type { Attempts } from './Attempts';
export type { ServiceAnswer, ServiceCall } from './ServiceCall';
export type { PlainDependencies } from './PlainDependencies';
