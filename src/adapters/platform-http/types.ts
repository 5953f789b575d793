import type { Dispatcher } from 'undici';
import type { Clock } from '../../application/ports';

/** Credentials for one of the platform's services. */
export interface PlatformCredentials {
  readonly accessKeyId: string;
  readonly secretAccessKey: string;
  readonly region: string;
}

/** Settings of a client of one of the platform's services. */
export interface PlatformSettings extends PlatformCredentials {
  /** Base URL, `http://ip:port`. */
  readonly endpoint: string;
  /** Time for a whole call, milliseconds; `DEFAULT_DEADLINE_MS` if absent. */
  readonly deadlineMs?: number;
}

/** What a client of the platform's services needs. */
export interface PlatformDependencies {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
}
