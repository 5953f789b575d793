import type { ScheduledServer } from '../types';

/** Prefills ahead that end within this time do not delay the stream: it is on its way meanwhile. */
const MAX_PENDING_PREFILL_MS = 100;

/** Checks whether a server can begin another stream now, whatever the stream is. */
export const isServerOpen = ({
  isUsable,
  pendingPrefillMs,
  runs,
  slots,
}: Pick<ScheduledServer, 'isUsable' | 'pendingPrefillMs' | 'runs' | 'slots'>): boolean =>
  isUsable && runs < slots && pendingPrefillMs <= MAX_PENDING_PREFILL_MS;
