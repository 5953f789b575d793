import type { PromptPart } from '../../forwarding';

/**
 * Lists the ids of the parts of a prompt.
 *
 * The last one counts like the others: it may belong to a session, whose requests all have it.
 *
 * @param parts - parts of the prompt in order
 * @returns the ids in the same order, each once
 *
 * @example
 * listPartIds([{ id: 'a', tokens: 800 }, { id: 'b', tokens: 10 }]); // => ['a', 'b']
 */
export const listPartIds = (parts: readonly PromptPart[]): readonly string[] => [
  ...new Set(parts.map(({ id }) => id)),
];
