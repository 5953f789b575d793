import type { RequestHead } from '../types';

/** Counts the tokens of KV memory that a request needs until its end; 0 if it is no generation. */
export const countNeededKvTokens = ({ tokens }: Pick<RequestHead, 'tokens'>): number =>
  (tokens?.prompt ?? 0) + (tokens?.maxOutput ?? 0);
