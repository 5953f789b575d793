export { createOrderlyAgent } from './createOrderlyAgent';
export {
  createOrderlyClient,
  INVALID_STATUS_CODE,
  RESET_CODE,
  type RequestContext,
} from './createOrderlyClient';
export { decorateHandler } from './decorateHandler';
export { filterHeaders } from './filterHeaders';
export { isUnwritten, sendRequest, UnwrittenError, type PreparedRequest } from './sendRequest';
