export { decorateHandler } from './decorateHandler';
