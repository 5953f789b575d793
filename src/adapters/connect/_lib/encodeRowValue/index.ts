import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** A row's value as it is sent. */
export interface EncodedRowValue {
  readonly value: Uint8Array;
  readonly isDeflated: boolean;
}

/** Smaller values gain little. */
const MIN_DEFLATED_BYTES = 4096;

/** Longest value that the store takes, and some to spare; what grows beyond it is no row. */
const MAX_VALUE_BYTES = 8 * 1024 * 1024;

/** Packed values by the one that is held, so that a VM that many follow packs each one once. */
const encodedValues = new WeakMap<Buffer, EncodedRowValue>();

/**
 * Packs a row's value: a VM with a slow link that tells all others of its zone of a configuration with
 * many routes would otherwise take longer than a change has.
 */
export const encodeRowValue = (value: Buffer): EncodedRowValue => {
  const cached = encodedValues.get(value);
  if (cached) return cached;
  const isDeflated = value.length >= MIN_DEFLATED_BYTES;
  const result = { value: isDeflated ? deflateRawSync(value) : value, isDeflated };
  encodedValues.set(value, result);
  return result;
};

/** Gives a row's value back; throws if it is none. */
export const decodeRowValue = ({ isDeflated, value }: EncodedRowValue): Buffer =>
  isDeflated ? inflateRawSync(value, { maxOutputLength: MAX_VALUE_BYTES }) : Buffer.from(value);
