import { setTimeout as wait } from 'node:timers/promises';
import { AttemptState, type StandInEngine } from '../../../../../standins/engine';

const POLL_INTERVAL_MS = 20;
const TIMEOUT_MS = 40_000;

/** Waits until no engine generates tokens, so that their token counts are final. */
export async function waitUntilIdle(engines: readonly StandInEngine[]): Promise<void> {
  const isBusy = (engine: StandInEngine) =>
    engine.listAttempts().some(({ state }) => state === AttemptState.Decoding);
  const deadlineMs = performance.now() + TIMEOUT_MS;
  while (engines.some(isBusy) && performance.now() < deadlineMs) await wait(POLL_INTERVAL_MS);
}
