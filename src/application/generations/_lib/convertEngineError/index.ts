import type { GenerationInput, ReaderId } from '../../../../domain/generation';
import type { EngineError } from '../../../ports';

/** Starts the reason of an error that reports an HTTP status, so that a connection was made. */
const HTTP_STATUS_PREFIX = 'status ';

type Converters = {
  readonly [Kind in EngineError['kind']]: (
    error: Extract<EngineError, { kind: Kind }>,
    reader: ReaderId,
  ) => GenerationInput;
};

const CONVERTERS: Converters = {
  'not-started': (error, reader) => ({
    kind: 'not-started',
    reader,
    refused: !error.reason.startsWith(HTTP_STATUS_PREFIX),
  }),
  broken: (_error, reader) => ({ kind: 'broken', reader }),
  'stream-gone': (_error, reader) => ({ kind: 'stream-gone', reader }),
  rejected: ({ status, message }, reader) => ({ kind: 'rejected', reader, status, message }),
  'stale-order': (_error, reader) => ({ kind: 'broken', reader }),
  cancelled: (_error, reader) => ({ kind: 'broken', reader }),
};

/**
 * Converts an error of the engine client to an input of the generation.
 *
 * @param error - Error of a call or a stream.
 * @param reader - Attempt and connection that the error came from.
 * @returns Input of the generation.
 */
export const convertEngineError = (error: EngineError, reader: ReaderId): GenerationInput => {
  const convert = CONVERTERS[error.kind] as (
    converted: EngineError,
    from: ReaderId,
  ) => GenerationInput;
  return convert(error, reader);
};
