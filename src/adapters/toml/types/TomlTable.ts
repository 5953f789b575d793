/** A parsed TOML table. */
export type TomlTable = Readonly<Record<string, unknown>>;
