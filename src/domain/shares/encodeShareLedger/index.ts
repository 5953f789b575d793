import type { ShareLedger } from '../types';

/** Encodes a ledger as a row of the shared store. */
export const encodeShareLedger = (ledger: ShareLedger): Buffer =>
  Buffer.from(
    JSON.stringify({
      era: ledger.era,
      closed: ledger.closedUntilStoreMs,
      holdings: ledger.holdings.map(({ holder, incarnation, parts, untilStoreMs }) => [
        holder,
        incarnation,
        parts,
        Math.round(untilStoreMs),
      ]),
    }),
  );
