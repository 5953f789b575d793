import type { TomlTable } from '../../types';

/** Checks whether a TOML value is a table. */
export function isTomlTable(value: unknown): value is TomlTable {
  return (
    typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date)
  );
}
