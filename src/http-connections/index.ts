export { createOrderlyAgent } from './createOrderlyAgent';
export { createOrderlyClient, RESET_CODE } from './createOrderlyClient';
export { decorateHandler } from './decorateHandler';
