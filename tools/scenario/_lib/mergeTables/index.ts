type Table = Readonly<Record<string, unknown>>;

const isTable = (value: unknown): value is Table =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Merges two TOML tables recursively; values of `changes` take precedence. */
export function mergeTables(base: Table, changes: Table): Table {
  const merged = Object.entries(changes).map(([key, value]) => {
    const before = base[key];
    return [key, isTable(before) && isTable(value) ? mergeTables(before, value) : value];
  });
  return { ...base, ...Object.fromEntries(merged) };
}
