import type { LoadPart } from '../../../src/domain/fleet-load';

/** Builds the part of one VM with requests of service `s` by server, with changes. */
export const buildLoadPart = (
  requests: Readonly<Record<string, number>>,
  change: Partial<LoadPart> = {},
): LoadPart => ({
  vm: 'vm-1',
  incarnation: 1,
  sequence: 1,
  availabilityZone: 'z1',
  vms: 1,
  ageMs: 0,
  roundTripMs: null,
  omittedServers: 0,
  services: [
    { service: 's', arrivalsPerS: 2, requestsByServer: new Map(Object.entries(requests)) },
  ],
  ...change,
});
