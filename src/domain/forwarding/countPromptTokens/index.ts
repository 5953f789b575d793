import type { RequestHead } from '../types';

/** Counts the tokens of a request's prompt; 0 if it is no generation. */
export const countPromptTokens = ({ tokens }: Pick<RequestHead, 'tokens'>): number =>
  tokens?.prompt ?? 0;
