export { createOrderlyAgent } from './createOrderlyAgent';
export { createOrderlyClient, RESET_CODE, type RequestContext } from './createOrderlyClient';
export { decorateHandler } from './decorateHandler';
export { filterHeaders } from './filterHeaders';
export { isUnwritten, sendRequest, UnwrittenError, type PreparedRequest } from './sendRequest';
