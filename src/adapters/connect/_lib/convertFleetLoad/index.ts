import { create } from '@bufbuild/protobuf';
import type { LoadPart, ServiceLoad } from '../../../../domain/fleet-load';
import {
  LoadPartSchema,
  type LoadPart as PartMessage,
  type ServiceLoad as ServiceMessage,
} from '../../gen/gateway_pb';
import { roundCount } from '../roundCount';

const isValidNumber = (value: number): boolean => Number.isFinite(value) && value >= 0;

/** Reads the load of a service; null without a name or with an impossible rate. */
const readServiceLoad = (message: ServiceMessage): ServiceLoad | null => {
  const { arrivalsPerS, servers, service } = message;
  if (service === '' || !isValidNumber(arrivalsPerS)) return null;
  const named = servers.filter(({ server }) => server !== '');
  const requestsByServer = new Map(named.map(({ requests, server }) => [server, requests]));
  return { service, arrivalsPerS, requestsByServer };
};

/** Converts a part of the fleet's load to its protobuf message. */
export const buildLoadPartMessage = (part: LoadPart): PartMessage => {
  const { roundTripMs, services, ...rest } = part;
  return create(LoadPartSchema, {
    ...rest,
    ageMs: roundCount(part.ageMs),
    ...(roundTripMs === null ? {} : { roundTripMs }),
    services: services.map(({ arrivalsPerS, requestsByServer, service }) => ({
      service,
      arrivalsPerS,
      servers: [...requestsByServer].map(([server, requests]) => ({
        server,
        requests: roundCount(requests),
      })),
    })),
  });
};

/**
 * Converts a protobuf message to a part of the fleet's load; malformed services are dropped.
 *
 * @returns null without a sender, its start or its availability zone
 */
export const readLoadPartMessage = (message: PartMessage | undefined): LoadPart | null => {
  if (!message || message.vm === '' || message.availabilityZone === '') return null;
  if (!isValidNumber(message.incarnation)) return null;
  const { ageMs, availabilityZone, incarnation, omittedServers, sequence, vm, vms } = message;
  const roundTripMs = message.roundTripMs ?? null;
  return {
    vm,
    incarnation,
    sequence,
    availabilityZone,
    vms,
    ageMs,
    roundTripMs: roundTripMs !== null && isValidNumber(roundTripMs) ? roundTripMs : null,
    omittedServers,
    services: message.services.map(readServiceLoad).filter((load) => load !== null),
  };
};
