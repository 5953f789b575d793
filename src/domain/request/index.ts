export { buildGenerationRequest } from './buildGenerationRequest';
export type { GenerationRequestParts } from './buildGenerationRequest';
export { extractPromptText } from './extractPromptText';
export { computeRequestDigest } from './computeRequestDigest';
export { isRetryableCall } from './isRetryableCall';
export { parseGenerationBody } from './parseGenerationBody';
export { parseRequestId } from './parseRequestId';
export { parseRequestOptions } from './parseRequestOptions';
export type { ChatBody, CompletionBody, RequestError, RequestOptions } from './types';
