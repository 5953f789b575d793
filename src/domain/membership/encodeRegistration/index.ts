import type { PeerRecord } from '../types';

/**
 * Encodes the registration of a VM as the body of its row in the table.
 *
 * @param record - record that the VM publishes about itself
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
