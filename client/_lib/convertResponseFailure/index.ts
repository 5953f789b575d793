import type { StreamFailure } from '../../types';

const RETRYABLE_STATUSES: readonly number[] = [408, 425, 429, 500, 502, 503, 504];
const MS_PER_S = 1000;

interface ErrorBody {
  readonly error?: { readonly code?: string; readonly message?: string };
}

const readErrorBody = async (response: Response): Promise<ErrorBody> => {
  try {
    return (await response.json()) as ErrorBody;
  } catch {
    return {};
  }
};

/** Converts an error response into a failure. Reads `Retry-After` as a number of seconds. */
export async function convertResponseFailure(response: Response): Promise<StreamFailure> {
  const { error } = await readErrorBody(response);
  const retryAfterS = Number(response.headers.get('retry-after') ?? 0);
  return {
    code: error?.code ?? `http_${response.status}`,
    message: error?.message ?? `the system responded with status ${response.status}`,
    runState: response.headers.get('jackdaw-run-state') ?? 'unknown',
    requestId: response.headers.get('jackdaw-request-id') ?? '',
    retryable: RETRYABLE_STATUSES.includes(response.status),
    retryAfterMs: Number.isFinite(retryAfterS) ? retryAfterS * MS_PER_S : 0,
  };
}
