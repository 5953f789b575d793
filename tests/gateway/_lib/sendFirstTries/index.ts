import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import { HEADERS } from '../../../../platform';
import { TEST_KEY } from '../../../../standins/gateway';
import type { GatewayProcess } from '../startGatewayProcess';

/** Requests that callers send once, and how many of them were served. */
export interface FirstTries {
  readonly sent: number;
  readonly served: number;
}

const DEADLINE_MS = 4000;

/** One request in this many is a stream. */
const STREAM_EVERY = 2;

const LAST_EVENT = 'id: 3\n';

const sendTry = async ({ callerUrl, vm }: GatewayProcess, index: number): Promise<boolean> => {
  const isStream = index % STREAM_EVERY === 0;
  try {
    const response = await request(`${callerUrl}/${isStream ? 'stream' : 'safe'}/${index}`, {
      method: isStream ? 'POST' : 'GET',
      headers: {
        host: 'a.example',
        [HEADERS.requestId]: `${vm}-${index}-${Date.now()}`,
        [HEADERS.deadlineMs]: String(DEADLINE_MS),
        [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
        [HEADERS.tokenSizes]: '100,3',
      },
      ...(isStream ? { body: '{}' } : {}),
      signal: AbortSignal.timeout(DEADLINE_MS),
    });
    const body = await response.body.text();
    return response.statusCode === 200 && (!isStream || body.includes(LAST_EVENT));
  } catch {
    // A connection that is refused, reset or silent is a failed try.
    return false;
  }
};

/** Sends requests to a gateway at a steady rate and counts those that are served. */
export const sendFirstTries = async (
  gateway: GatewayProcess,
  { count, pauseMs }: { readonly count: number; readonly pauseMs: number },
): Promise<FirstTries> => {
  const tries: Promise<boolean>[] = [];
  for (let index = 0; index < count; index += 1) {
    tries.push(sendTry(gateway, index));
    await wait(pauseMs);
  }
  const outcomes = await Promise.all(tries);
  return { sent: count, served: outcomes.filter(Boolean).length };
};
