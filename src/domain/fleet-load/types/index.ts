export type { HeldPart } from './HeldPart';
export type { LoadPart, ServiceLoad } from './LoadPart';
