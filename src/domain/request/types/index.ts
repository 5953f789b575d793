export { ChatBodySchema, CompletionBodySchema } from './GenerationBody';
export type { ChatBody, CompletionBody } from './GenerationBody';
export type { RequestError } from './RequestError';
export type { RequestOptions } from './RequestOptions';
