import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { parseJson } from '../../json';
import { ClaimState, type ClaimRow } from '../../types';

/** A body that is not a valid claim. */
export interface MalformedClaim {
  readonly kind: 'malformed-claim';
  readonly reason: string;
}

const ClaimBody = z.object({
  workspace: z.string(),
  keyDigest: z.string(),
  claimId: z.string(),
  generationId: z.string(),
  requestDigest: z.string(),
  vm: z.string(),
  peerAddress: z.string(),
  backendServer: z.string(),
  streamId: z.string(),
  attempt: z.number().int(),
  idempotent: z.boolean(),
  state: z.enum(ClaimState),
});

/** Decodes the body of the row of a claim. */
export function decodeClaim(body: string, revision: number): Result<ClaimRow, MalformedClaim> {
  const parsed = ClaimBody.safeParse(parseJson(body));
  return parsed.success
    ? ok({ ...parsed.data, revision })
    : err({ kind: 'malformed-claim', reason: z.prettifyError(parsed.error) });
}
