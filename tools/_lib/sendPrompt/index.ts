import { once } from 'node:events';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { HEADERS } from '../../../platform';
import { TEST_KEY } from '../../../standins/gateway';

/** A request with a prompt. */
export interface PromptRequest {
  /** Port of the gateway for callers. */
  readonly port: number;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly id: string;
  readonly deadlineMs: number;
  /** Parts of its prompt in order: ID:TOKENS, separated by commas. */
  readonly promptPrefix: string;
  readonly body?: string | undefined;
}

const TOKEN_SIZES = '5000,700';
const OK_STATUS = 200;

/** Sends a request on its own connection; resolves with true if its answer is complete. */
export const sendPrompt = async ({
  body,
  deadlineMs,
  id,
  method,
  path,
  port,
  promptPrefix,
}: PromptRequest): Promise<boolean> => {
  const sent = sendRequest({
    host: '127.0.0.1',
    port,
    path,
    method,
    agent: false,
    headers: {
      host: 'a.example',
      [HEADERS.requestId]: id,
      [HEADERS.deadlineMs]: String(deadlineMs),
      [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
      [HEADERS.tokenSizes]: TOKEN_SIZES,
      [HEADERS.promptPrefix]: promptPrefix,
    },
  });
  sent.end(body);
  try {
    const [answer] = (await once(sent, 'response')) as [IncomingMessage];
    answer.resume();
    await once(answer, 'close');
    return answer.statusCode === OK_STATUS && answer.complete;
  } catch {
    return false;
  }
};
