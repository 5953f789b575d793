import type { Configuration } from '../../../src/domain/types';
import type { StandInEngine } from '../../../standins/engine';
import type { StandInPlainService } from '../../../standins/plain';
import type { StandInPlatform } from '../../../standins/platform';

/** The stand-ins of all backend servers of a configuration. */
export interface Backends {
  /** The configuration with the URLs of the stand-ins. */
  readonly configuration: Configuration;
  /** Engines by the name of their backend server. */
  readonly engines: ReadonlyMap<string, StandInEngine>;
  readonly plainServices: ReadonlyMap<string, StandInPlainService>;
  stop(): Promise<void>;
}

/** One entry of an embedded system. */
export interface EmbeddedEntry {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Base URL for callers. */
  readonly url: string;
  readonly peerAddress: string;
  stop(): Promise<void>;
}

/** Platform, backend servers and entries in one process. */
export interface EmbeddedSystem {
  readonly platform: StandInPlatform;
  readonly backends: Backends;
  readonly entries: readonly EmbeddedEntry[];
  stop(): Promise<void>;
}
