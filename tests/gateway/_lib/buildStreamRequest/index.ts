import { HEADERS } from '../../../../platform';
import type { TestRequest } from '../startTestGateway';

/** Builds a stream request with a long prompt and additional headers. */
export const buildStreamRequest = (
  headers: Readonly<Record<string, string>> = {},
): TestRequest => ({
  target: '/stream/x',
  body: 'a long prompt',
  headers: { [HEADERS.tokenSizes]: '8000,900', ...headers },
});
