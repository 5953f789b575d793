export {
  createHttpEngineClient,
  type HttpEngineClient,
  type HttpEngineClientDependencies,
} from './createHttpEngineClient';
