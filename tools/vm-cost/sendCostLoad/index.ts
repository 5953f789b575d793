import { setTimeout as wait } from 'node:timers/promises';
import { sendPrompt } from '../../_lib/sendPrompt';

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

const BODY_BYTES = 5000;
const CALL_DEADLINE_MS = 1500;
const STREAM_DEADLINE_MS = 25_000;

/** Sends one request; resolves with true if the answer is complete. */
const send = (port: number, path: string, id: number): Promise<boolean> => {
  const isStream = path.startsWith('/stream/');
  return sendPrompt({
    port,
    path,
    method: path.startsWith('/safe/') ? 'GET' : 'POST',
    id: `request-${id}`,
    deadlineMs: isStream ? STREAM_DEADLINE_MS : CALL_DEADLINE_MS,
    promptPrefix: `a${id % 50}:200,${id.toString(16)}f:4800`,
    body: isStream ? 'x'.repeat(BODY_BYTES) : undefined,
  });
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
