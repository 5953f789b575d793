import type { TomlTable } from '../../types';

/** Tells a table from any other TOML value. */
export function isTomlTable(value: unknown): value is TomlTable {
  return (
    typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date)
  );
}
