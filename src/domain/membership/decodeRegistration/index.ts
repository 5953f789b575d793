import { z } from 'zod';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parseJson } from '../../json';
import type { PeerRecord } from '../types';

const schema = z.object({
  vm: z.string().min(1),
  peer_address: z.string().min(1),
  region: z.string(),
  availability_zone: z.string(),
  leaving: z.boolean(),
  incarnation: z.number().int().nonnegative(),
});

/** A registration row that cannot be decoded. */
export interface RegistrationError {
  readonly kind: 'malformed-registration';
  readonly reason: string;
}

/**
 * Decodes the registration of a VM from the body of its row.
 *
 * @param body - text that `encodeRegistration` wrote
 * @returns the record, or `malformed-registration` with the reason
 */
export function decodeRegistration(body: string): Result<PeerRecord, RegistrationError> {
  const parsed = schema.safeParse(parseJson(body));
  if (!parsed.success) {
    return err({ kind: 'malformed-registration', reason: z.prettifyError(parsed.error) });
  }
  const { peer_address: peerAddress, availability_zone: availabilityZone, ...rest } = parsed.data;
  return ok({ ...rest, peerAddress, availabilityZone });
}
