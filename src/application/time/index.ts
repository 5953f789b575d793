export { startLoop, type LoopOptions } from './startLoop';
export { waitDelay } from './waitDelay';
