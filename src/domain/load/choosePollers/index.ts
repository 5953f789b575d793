import { createHash } from 'node:crypto';

/** VMs that poll one server: two, so that one may die without a gap in the reports. */
export const POLLERS_PER_SERVER = 2;

/**
 * Chooses the VMs that poll a backend server, by rendezvous hashing.
 *
 * Each VM works it out alone; when one joins or leaves, only the servers that it polled move.
 *
 * @param backendServer - name of the server
 * @param vms - names of the live VMs of the region
 * @param count - how many VMs to choose
 * @returns at most `count` names, the first choice first
 */
export function choosePollers(
  backendServer: string,
  vms: readonly string[],
  count: number,
): readonly string[] {
  return vms
    .map((vm) => ({ vm, rank: createHash('sha1').update(`${vm}\n${backendServer}`).digest('hex') }))
    .sort((left, right) => (left.rank < right.rank ? -1 : 1))
    .slice(0, count)
    .map(({ vm }) => vm);
}
