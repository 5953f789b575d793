import { err, ok, type Result } from 'neverthrow';
import type { ObjectStore, StoreError } from '../../../application/ports';
import {
  DEFAULT_RETRY_AFTER_MS,
  createPlatformClient,
  type PlatformDependencies,
  type PlatformSettings,
} from '../../platform-http';

/** Settings of the object store client. */
export interface S3ObjectSettings extends PlatformSettings {
  readonly bucket: string;
}

/** Statuses after which, by S3's list of error codes, the request had no effect. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([429, 503]);

const CONFLICT_STATUSES: ReadonlySet<number> = new Set([409, 412]);

function convertObjectError(status: number, write: boolean): StoreError {
  const reason = `status ${status}`;
  if (CONFLICT_STATUSES.has(status)) return { kind: 'condition-failed', current: null };
  if (RETRYABLE_STATUSES.has(status) || (status >= 500 && !write)) {
    return { kind: 'unavailable', reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS };
  }
  return { kind: status >= 500 ? 'ambiguous' : 'invalid', reason };
}

const checkStatus = (status: number, write: boolean): Result<void, StoreError> =>
  status >= 200 && status < 300 ? ok(undefined) : err(convertObjectError(status, write));

/** Creates a client of an object store with the S3 protocol and path-style URLs. */
export function createS3ObjectStore(
  settings: S3ObjectSettings,
  dependencies: PlatformDependencies,
): ObjectStore {
  const client = createPlatformClient(settings, dependencies);
  const buildPath = (key: string): string =>
    `/${[settings.bucket, ...key.split('/')].map(encodeURIComponent).join('/')}`;
  return {
    readObject: async (key) => {
      const response = await client.sendRequest({
        method: 'GET',
        path: buildPath(key),
        service: 's3',
        write: false,
      });
      return response.andThen(({ status, content }) =>
        status === 404 ? ok(null) : checkStatus(status, false).map(() => content),
      );
    },
    writeObject: async (key, content, { onlyIfAbsent }) => {
      const response = await client.sendRequest({
        method: 'PUT',
        path: buildPath(key),
        headers: onlyIfAbsent ? { 'if-none-match': '*' } : {},
        body: new Uint8Array(content),
        service: 's3',
        write: true,
      });
      return response.andThen(({ status }) => checkStatus(status, true));
    },
  };
}
