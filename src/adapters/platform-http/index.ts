export { DEFAULT_DEADLINE_MS, DEFAULT_RETRY_AFTER_MS } from './constants';
export { createPlatformClient } from './createPlatformClient';
export { createPlatformDispatcher } from './createPlatformDispatcher';
export type { PlatformAnswer } from './_lib/createAnswerCollector';
export type { PlatformClient, PlatformRequest } from './createPlatformClient';
export type { PlatformCredentials, PlatformDependencies, PlatformSettings } from './types';
