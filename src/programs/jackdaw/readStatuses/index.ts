import { z } from 'zod';
import type { OperatorCalls } from '../../../application/peers';

const modelSchema = z.object({ model: z.string(), version: z.string(), adapter: z.string() });

const reportSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
  models: z.array(modelSchema),
  role: z.string(),
  leaving: z.boolean(),
  fencingToken: z.number(),
});

/** Status of one process, documented in docs/operators/status.md; unknown fields are dropped. */
const statusSchema = z.object({
  vm: z.string(),
  draining: z.boolean(),
  cutOff: z.boolean(),
  running: z.number(),
  generations: z.number(),
  deployment: z.string(),
  configuration: z.object({ version: z.number() }).nullable(),
  places: z.array(z.object({ name: z.string(), region: z.string() })),
  services: z.array(z.object({ name: z.string(), kind: z.string(), workClass: z.string() })),
  backendServers: z.array(
    z.object({
      name: z.string(),
      region: z.string(),
      availabilityZone: z.string(),
      health: z.string(),
      report: reportSchema.nullable(),
    }),
  ),
  engineTargets: z.array(
    z.object({ backendServer: z.string(), models: z.array(modelSchema), role: z.string() }),
  ),
  vms: z.array(
    z.object({
      vm: z.string(),
      peerAddress: z.string(),
      leaving: z.boolean(),
      heardAgeMs: z.number().nullable(),
    }),
  ),
});

/** Status of one process. */
export type ProcessStatus = z.output<typeof statusSchema>;

/** A VM, with its status or the reason why there is none. */
export interface VmStatusResult {
  readonly vm: string;
  readonly peerAddress: string;
  /** Null if the VM did not answer, or not in the format that this version of `jackdaw` expects. */
  readonly status: ProcessStatus | null;
  /** Why there is no status; empty if there is one. */
  readonly reason: string;
}

/** Reads the statuses of all VMs concurrently. */
export function readStatuses(
  calls: OperatorCalls,
  vms: readonly { readonly vm: string; readonly peerAddress: string }[],
): Promise<readonly VmStatusResult[]> {
  return Promise.all(
    vms.map(async ({ vm, peerAddress }) => {
      const read = await calls.readStatus(peerAddress);
      if (read.isErr()) return { vm, peerAddress, status: null, reason: read.error.reason };
      const parsed = statusSchema.safeParse(read.value);
      return parsed.success
        ? { vm: parsed.data.vm, peerAddress, status: parsed.data, reason: '' }
        : { vm, peerAddress, status: null, reason: z.prettifyError(parsed.error) };
    }),
  );
}
