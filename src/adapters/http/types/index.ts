export type { AnswerShape } from './AnswerShape';
export type { CallerContext, CallerEnvironment } from './CallerContext';
export type { CallerDependencies, CursorSigner } from './CallerDependencies';
export type { CallerError } from './CallerError';
export type { Delivery } from './Delivery';
