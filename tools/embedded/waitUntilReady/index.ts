import { setTimeout as wait } from 'node:timers/promises';

const POLL_INTERVAL_MS = 20;
const TIMEOUT_MS = 20_000;

/**
 * Waits until an entry answers on `/readyz` that it is ready, as the load balancer checks.
 *
 * @param url - base URL of the entry for callers
 * @throws Error after 20 s, with the last status
 */
export async function waitUntilReady(url: string): Promise<void> {
  const deadlineMs = performance.now() + TIMEOUT_MS;
  let status = 0;
  while (status !== 200) {
    if (performance.now() > deadlineMs) throw new Error(`${url} is not ready: status ${status}`);
    const answer = await fetch(`${url}/readyz`).catch(() => null);
    await answer?.body?.cancel();
    status = answer?.status ?? 0;
    if (status !== 200) await wait(POLL_INTERVAL_MS);
  }
}
