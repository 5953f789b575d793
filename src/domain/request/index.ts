export { buildGenerationRequest } from './buildGenerationRequest';
export type { GenerationSource } from './buildGenerationRequest';
export { computePromptText } from './computePromptText';
export { computeRequestDigest } from './computeRequestDigest';
export { isRepeatableCall } from './isRepeatableCall';
export { parseGenerationBody } from './parseGenerationBody';
export { parseRequestId } from './parseRequestId';
export { parseRequestOptions } from './parseRequestOptions';
export type { ChatBody, CompletionBody, RequestError, RequestOptions } from './types';
