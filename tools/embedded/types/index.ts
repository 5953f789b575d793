export type { Backends, EmbeddedEntry, EmbeddedSystem } from './EmbeddedSystem';
