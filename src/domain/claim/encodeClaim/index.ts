import type { ClaimRow } from '../../types';

/** Encodes a claim as the body of its row; the revision is stored outside the body. */
export function encodeClaim({ revision, ...body }: ClaimRow): string {
  return JSON.stringify(body);
}
