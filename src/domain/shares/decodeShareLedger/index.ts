import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { parseJson } from '../../json';
import type { ShareLedger } from '../types';

const LedgerSchema = z.object({
  era: z.number(),
  closed: z.number(),
  holdings: z.array(z.tuple([z.string(), z.string(), z.number().int().nonnegative(), z.number()])),
});

/** Decodes a ledger from a row of the shared store; errors with the reason. */
export const decodeShareLedger = (value: Buffer): Result<ShareLedger, string> => {
  const decoded = LedgerSchema.safeParse(parseJson(value.toString('utf8')));
  if (!decoded.success) return err(decoded.error.issues[0]?.message ?? 'no ledger');
  const { closed, era, holdings } = decoded.data;
  return ok({
    era,
    closedUntilStoreMs: closed,
    holdings: holdings.map(([holder, incarnation, parts, untilStoreMs]) => ({
      holder,
      incarnation,
      parts,
      untilStoreMs,
    })),
  });
};
