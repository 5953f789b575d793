import { UsageError } from 'clipanion';

/** Parses the value of a numeric flag; an error names the flag and the value. */
export function parseNumberFlag(flag: string, value: string): number {
  const number = Number(value);
  if (value === '' || !Number.isFinite(number) || number < 0) {
    throw new UsageError(`${flag}: "${value}" is not a number of 0 or more`);
  }
  return number;
}
