import type { LeaseRow } from '../types';

/** Encodes a lease as the body of its row; the revision is stored outside the body. */
export function encodeLeaseRow(row: LeaseRow): string {
  return JSON.stringify({ holder: row.holder, vm: row.vm, duration_ms: row.durationMs });
}
