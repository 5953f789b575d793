import { once } from 'node:events';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { HEADERS } from '../../../platform';
import { TEST_KEY } from '../../../standins/gateway';

/** Load that callers put on each gateway. */
export interface CostLoad {
  readonly lookupsPerS: number;
  readonly streamsPerS: number;
  readonly seconds: number;
}

/** Number of requests sent, and of those answered completely. */
export interface CostLoadResult {
  readonly sent: number;
  readonly answered: number;
}

const OK_STATUS = 200;
const BODY_BYTES = 5000;
const CALL_DEADLINE_MS = 1500;
const STREAM_DEADLINE_MS = 25_000;

/** Sends one request on its own connection; resolves with true if the answer is complete. */
const send = async (port: number, path: string, id: number): Promise<boolean> => {
  const isStream = path.startsWith('/stream/');
  const sent = sendRequest({
    host: '127.0.0.1',
    port,
    path,
    method: path.startsWith('/safe/') ? 'GET' : 'POST',
    agent: false,
    headers: {
      host: 'a.example',
      [HEADERS.requestId]: `request-${id}`,
      [HEADERS.deadlineMs]: String(isStream ? STREAM_DEADLINE_MS : CALL_DEADLINE_MS),
      [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
      [HEADERS.tokenSizes]: '5000,700',
      [HEADERS.promptPrefix]: `a${id % 50}:200,${id.toString(16)}f:4800`,
    },
  });
  sent.end(isStream ? 'x'.repeat(BODY_BYTES) : undefined);
  try {
    const [answer] = (await once(sent, 'response')) as [IncomingMessage];
    answer.resume();
    await once(answer, 'close');
    return answer.statusCode === OK_STATUS && answer.complete;
  } catch {
    return false;
  }
};

/** Sends requests to each port as Poisson arrivals; resolves when all have ended. */
export const sendCostLoad = async (
  ports: readonly number[],
  { lookupsPerS, seconds, streamsPerS }: CostLoad,
): Promise<CostLoadResult> => {
  const untilMs = Date.now() + seconds * 1000;
  const pendingAnswers: Promise<boolean>[] = [];
  const sendAtRate = async (port: number, path: string, perS: number): Promise<void> => {
    while (perS > 0) {
      await wait((-Math.log(Math.random()) / perS) * 1000);
      if (Date.now() >= untilMs) return;
      pendingAnswers.push(send(port, path, pendingAnswers.length));
    }
  };
  await Promise.all(
    ports.flatMap((port) => [
      sendAtRate(port, '/safe/x', lookupsPerS / 2),
      sendAtRate(port, '/unsafe/x', lookupsPerS / 2),
      sendAtRate(port, '/stream/x', streamsPerS),
    ]),
  );
  const answered = (await Promise.all(pendingAnswers)).filter(Boolean).length;
  return { sent: pendingAnswers.length, answered };
};
