import type { Endpoint } from '../../../domain/types';

/** Properties that all chunks of one answer share. */
export interface AnswerShape {
  readonly generationId: string;
  readonly endpoint: Endpoint;
  readonly model: string;
  readonly createdS: number;
  /** Whether the caller set `stream_options.include_usage`. */
  readonly includeUsage: boolean;
  readonly promptCharacters: number;
}
