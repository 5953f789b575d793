import type { KeyOrigin } from './KeyOrigin';
import type { TomlTable } from './TomlTable';

/** One parsed TOML file, with the lines of its keys. */
export interface TomlSource {
  readonly file: string;
  readonly table: TomlTable;
  readonly origins: readonly KeyOrigin[];
}
