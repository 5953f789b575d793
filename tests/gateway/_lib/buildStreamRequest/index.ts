import { HEADERS } from '../../../../platform';
import type { TestRequest } from '../startTestGateway';

/** A stream with a long prompt; `headers` are added. */
export const buildStreamRequest = (
  headers: Readonly<Record<string, string>> = {},
): TestRequest => ({
  target: '/stream/x',
  body: 'a long prompt',
  headers: { [HEADERS.tokenSizes]: '8000,900', ...headers },
});
