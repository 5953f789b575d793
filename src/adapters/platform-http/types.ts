import type { Dispatcher } from 'undici';
import type { Clock } from '../../application/ports';

/** Credentials for one of the platform's services. */
export interface PlatformCredentials {
  readonly accessKeyId: string;
  readonly secretAccessKey: string;
  readonly region: string;
}

/** Settings of the client of one of the platform's services. */
export interface PlatformSettings extends PlatformCredentials {
  /** Base URL, `http://ip:port`. */
  readonly endpoint: string;
  /** Deadline of a whole call, in milliseconds; default `DEFAULT_DEADLINE_MS`. */
  readonly deadlineMs?: number;
}

/** Dependencies of the client of one of the platform's services. */
export interface PlatformDependencies {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
}
