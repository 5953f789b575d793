import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** A row's value as sent to other gateways, compressed if it is long. */
export interface EncodedRowValue {
  readonly value: Uint8Array;
  readonly isDeflated: boolean;
}

/** Compression saves little on values shorter than this. */
const MIN_DEFLATED_BYTES = 4096;

/**
 * Upper bound of an inflated value: more than the store accepts, so a longer value cannot be a row.
 */
const MAX_VALUE_BYTES = 8 * 1024 * 1024;

/** Encoded values by raw value, so that a VM with many followers compresses each value once. */
const encodedValues = new WeakMap<Buffer, EncodedRowValue>();

/**
 * Encodes a row's value, compressed from `MIN_DEFLATED_BYTES` on.
 *
 * Without compression, a VM with a slow link that sends a configuration with many routes to all
 * other VMs of its zone would exceed the time allowed for a configuration change.
 */
export const encodeRowValue = (value: Buffer): EncodedRowValue => {
  const cached = encodedValues.get(value);
  if (cached) return cached;
  const isDeflated = value.length >= MIN_DEFLATED_BYTES;
  const result = { value: isDeflated ? deflateRawSync(value) : value, isDeflated };
  encodedValues.set(value, result);
  return result;
};

/** Decodes a row's value; throws if the value is not valid. */
export const decodeRowValue = ({ isDeflated, value }: EncodedRowValue): Buffer =>
  isDeflated ? inflateRawSync(value, { maxOutputLength: MAX_VALUE_BYTES }) : Buffer.from(value);
