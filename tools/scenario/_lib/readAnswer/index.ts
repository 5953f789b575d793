import type { CallerEnd } from '../../types';

interface ErrorBody {
  readonly error?: { readonly code?: string };
}

const parseErrorBody = (text: string): ErrorBody => {
  try {
    return (JSON.parse(text) ?? {}) as ErrorBody;
  } catch {
    return {};
  }
};

/** The end of a request that received no answer. */
export const NO_ANSWER: CallerEnd = {
  kind: 'cut',
  status: 0,
  code: '',
  runState: '',
  retryAfter: '',
  text: '',
};

/** Reads the headers and body of a whole answer. */
export async function readAnswer(response: Response): Promise<CallerEnd> {
  const text = await response.text();
  return {
    kind: response.ok ? 'finished' : 'failed',
    status: response.status,
    code: parseErrorBody(text).error?.code ?? '',
    runState: response.headers.get('jackdaw-run-state') ?? '',
    retryAfter: response.headers.get('retry-after') ?? '',
    text,
  };
}
