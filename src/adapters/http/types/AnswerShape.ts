import type { Endpoint } from '../../../domain/types';

/** What all chunks of one answer share. */
export interface AnswerShape {
  readonly generationId: string;
  readonly endpoint: Endpoint;
  readonly model: string;
  readonly createdS: number;
  /** True: the caller asked for `stream_options.include_usage`. */
  readonly includeUsage: boolean;
  readonly promptCharacters: number;
}
