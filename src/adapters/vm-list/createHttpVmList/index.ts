import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { StoreError, VmList } from '../../../application/ports';
import type { VmRecord } from '../../../domain/types';
import {
  DEFAULT_RETRY_AFTER_MS,
  createPlatformClient,
  type PlatformDependencies,
} from '../../platform-http';

/** Settings of the VM list client. */
export interface VmListSettings {
  /** Base URL, `http://ip:port`. */
  readonly endpoint: string;
  /** Deadline of a whole call, in milliseconds. */
  readonly deadlineMs?: number;
}

const VmsAnswer = z.object({
  vms: z.array(
    z
      .object({
        vm: z.string(),
        peer_address: z.string(),
        region: z.string(),
        availability_zone: z.string(),
        leaving: z.boolean(),
      })
      .transform((wire): VmRecord => ({
        vm: wire.vm,
        peerAddress: wire.peer_address,
        region: wire.region,
        availabilityZone: wire.availability_zone,
        leaving: wire.leaving,
      })),
  ),
});

function parseVms(content: Uint8Array): Result<readonly VmRecord[], StoreError> {
  try {
    return ok(VmsAnswer.parse(JSON.parse(new TextDecoder().decode(content))).vms);
  } catch {
    return err({ kind: 'invalid', reason: 'malformed answer of the VM list' });
  }
}

const NO_CREDENTIALS = { accessKeyId: '', secretAccessKey: '', region: '' };

/** Creates a client of the platform's VM list. */
export function createHttpVmList(
  settings: VmListSettings,
  dependencies: PlatformDependencies,
): VmList {
  const client = createPlatformClient({ ...NO_CREDENTIALS, ...settings }, dependencies);
  return {
    listVms: async () => {
      const response = await client.sendRequest({
        method: 'GET',
        path: '/vms',
        service: null,
        write: false,
      });
      return response.andThen(({ status, content }) =>
        status === 200
          ? parseVms(content)
          : err<readonly VmRecord[], StoreError>({
              kind: 'unavailable',
              reason: `status ${status}`,
              retryAfterMs: DEFAULT_RETRY_AFTER_MS,
            }),
      );
    },
  };
}
