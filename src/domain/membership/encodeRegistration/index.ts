import type { PeerRecord } from '../types';

/**
 * Encodes a VM's registration as the body of its row in the table.
 *
 * @param record - the VM as it tells of itself
 * @returns JSON text, see docs/ARCHITECTURE.md
 */
export function encodeRegistration(record: PeerRecord): string {
  return JSON.stringify({
    vm: record.vm,
    peer_address: record.peerAddress,
    region: record.region,
    availability_zone: record.availabilityZone,
    leaving: record.leaving,
    incarnation: record.incarnation,
  });
}
