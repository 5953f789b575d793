import { randomBytes } from 'node:crypto';
import type { Randomness } from '../../../application/ports';

/** Creates a source of randomness; `readHex` is cryptographically secure. */
export function createSystemRandomness(): Randomness {
  return {
    readFraction: () => Math.random(),
    readHex: (bytes) => randomBytes(bytes).toString('hex'),
  };
}
