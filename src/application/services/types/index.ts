export type { AttemptContext } from './AttemptContext';
export type { ServiceAnswer, ServiceCall } from './ServiceCall';
export type { PlainServicesDependencies } from './PlainServicesDependencies';
