import { SLOPE_KEY } from '../renderSlopeFolder';

const MS_PER_S = 1000;
const LOOKUP_TOKENS = 4;

const sendKeyedRequest = async (url: string, key: string): Promise<void> => {
  const response = await fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: {
      Authorization: `Bearer ${SLOPE_KEY}`,
      'Content-Type': 'application/json',
      'Idempotency-Key': key,
    },
    body: JSON.stringify({ model: 'status', prompt: key, max_tokens: LOOKUP_TOKENS }),
  });
  const text = await response.text();
  if (!response.ok) throw new Error(`keyed request ${key}: ${response.status} ${text}`);
};

/** Sends keyed requests at a constant rate; the returned function stops and waits for the last. */
export function startKeyedRequests(url: string, perSecond: number): () => Promise<void> {
  if (perSecond === 0) return async () => {};
  const running: Promise<void>[] = [];
  const timer = setInterval(() => {
    running.push(sendKeyedRequest(url, `key-${running.length}`));
  }, MS_PER_S / perSecond);
  return async () => {
    clearInterval(timer);
    await Promise.all(running);
  };
}
