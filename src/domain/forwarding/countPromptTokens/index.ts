import type { RequestHead } from '../types';

/** Counts the tokens of a request's prompt; none for requests that are no generation. */
export const countPromptTokens = ({ tokens }: Pick<RequestHead, 'tokens'>): number =>
  tokens?.prompt ?? 0;
