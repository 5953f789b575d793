import { FRESHNESS_LIMIT_MS, type TableReaders } from '../../../domain/configuration';
import { readEntryStatus } from '../readEntryStatus';
import type { OperatorPlatform } from '../types';

/** Counts the listed entry VMs, and those of them that read the table recently. */
export async function countTableReaders(platform: OperatorPlatform): Promise<TableReaders> {
  const vms = await platform.listEntryVms();
  const statuses = await Promise.all(
    vms.map(({ peerAddress }) => readEntryStatus(platform.calls, peerAddress)),
  );
  const readers = statuses.filter(
    (status) => (status?.tableReadAgeMs ?? Number.POSITIVE_INFINITY) <= FRESHNESS_LIMIT_MS,
  );
  return { vmsListed: vms.length, vmsReading: readers.length };
}
