import { computePartAgeMs } from '../computePartAgeMs';
import type { HeldPart, LoadPart, ServiceLoad } from '../types';

/** A part that is older no longer counts: its VM may have ended. */
export const PART_TTL_MS = 2000;

/** Sum of parts, without what identifies its sender. */
export type LoadSum = Pick<LoadPart, 'ageMs' | 'omittedServers' | 'services' | 'vms'>;

const sumServices = (loads: readonly ServiceLoad[]): readonly ServiceLoad[] => {
  const names = new Set(loads.map(({ service }) => service));
  return [...names].map((service) => {
    const ofService = loads.filter((load) => load.service === service);
    const requestsByServer = new Map<string, number>();
    ofService.forEach((load) =>
      load.requestsByServer.forEach((requests, server) =>
        requestsByServer.set(server, (requestsByServer.get(server) ?? 0) + requests),
      ),
    );
    const arrivalsPerS = ofService.reduce((sum, load) => sum + load.arrivalsPerS, 0);
    return { service, arrivalsPerS, requestsByServer };
  });
};

/** Sums the parts of VMs that are not older than 2 s. */
export const sumLoadParts = (held: readonly HeldPart[], nowMs: number): LoadSum => {
  const fresh = held.filter((one) => computePartAgeMs(one, nowMs) <= PART_TTL_MS);
  const totalAgeMs = fresh.reduce((sum, one) => sum + computePartAgeMs(one, nowMs), 0);
  return {
    vms: fresh.length,
    ageMs: totalAgeMs / Math.max(1, fresh.length),
    omittedServers: fresh.reduce((sum, { part }) => sum + part.omittedServers, 0),
    services: sumServices(fresh.flatMap(({ part }) => part.services)),
  };
};
