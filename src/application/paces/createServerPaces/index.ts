import {
  computePaceValue,
  computeWorkFactor,
  mergePaceEstimates,
  updatePaceEstimate,
  type PaceEstimate,
  type PaceSample,
  type ServerPace,
} from '../../../domain/paces';
import { updateMovingAverage } from '../../../domain/load';
import { createBoundedMap } from '../../_lib/createBoundedMap';
import type { Clock } from '../../ports';
import type { PacedServer, ServerPaces } from '../types';

/** Estimates of one server, or of a whole service, by kind of work. */
type Estimates = Readonly<Record<PaceSample['kind'], PaceEstimate>>;

/** What is kept of one server. */
interface ServerState {
  readonly estimates: Estimates;
  /** Factor that the server stated last. */
  readonly workFactor: number;
  readonly factorAtMs: number;
}

/** What is kept of one service. */
interface ServiceState {
  /** Averages of its servers' estimates, for a service whose servers differ. */
  readonly estimates: Estimates;
  /** Estimates from the samples of all its servers, for a service whose servers are alike. */
  readonly commonEstimates: Estimates;
  /** When one of its servers last stated how long work takes. */
  readonly factorAtMs: number;
}

const NO_ESTIMATE: PaceEstimate = { value: 0, samples: 0 };
const NO_ESTIMATES: Estimates = { prefill: NO_ESTIMATE, decode: NO_ESTIMATE, call: NO_ESTIMATE };
const NEW_SERVER: ServerState = {
  estimates: NO_ESTIMATES,
  workFactor: 1,
  factorAtMs: -Infinity,
};
const NEW_SERVICE: ServiceState = {
  estimates: NO_ESTIMATES,
  commonEstimates: NO_ESTIMATES,
  factorAtMs: -Infinity,
};

/** Several times the servers of a large deployment; those that are gone are evicted first. */
const MAX_SERVERS = 4096;
const MAX_SERVICES = 256;

/** Weight of a server's estimate in the average of its service: the last 50 samples count. */
const SERVICE_WEIGHT = 0.02;

/** A service stays uneven while it is idle, so that its first requests are not placed as before. */
const UNEVEN_TTL_MS = 600_000;

/** Creates the paces of the servers, of which nothing is known yet. */
export const createServerPaces = ({ clock }: { readonly clock: Clock }): ServerPaces => {
  const servers = createBoundedMap<ServerState>(MAX_SERVERS);
  const services = createBoundedMap<ServiceState>(MAX_SERVICES);
  const readServer = (incarnation: string): ServerState => servers.get(incarnation) ?? NEW_SERVER;
  const readService = (service: string): ServiceState => services.get(service) ?? NEW_SERVICE;

  const isUneven = (service: string): boolean =>
    clock.readMonotonicMs() - readService(service).factorAtMs < UNEVEN_TTL_MS;

  const readPace = ({ incarnation, service }: PacedServer): ServerPace => {
    const { commonEstimates: common, estimates: usual } = readService(service);
    // Servers that are alike share their samples: one of them gets too few to tell its pace from
    // what disturbed it.
    if (!isUneven(service)) {
      return {
        prefillMsPerToken: common.prefill.value,
        decodeMsPerToken: common.decode.value,
        callMs: common.call.value,
        workFactor: 1,
      };
    }
    const { estimates: own, factorAtMs, workFactor } = readServer(incarnation);
    return {
      prefillMsPerToken: mergePaceEstimates(own.prefill, usual.prefill.value),
      decodeMsPerToken: mergePaceEstimates(own.decode, usual.decode.value),
      callMs: mergePaceEstimates(own.call, usual.call.value),
      workFactor: computeWorkFactor(workFactor, clock.readMonotonicMs() - factorAtMs),
    };
  };

  return {
    record: ({ incarnation, service }, sample) => {
      const { kind } = sample;
      const state = readServer(incarnation);
      const before = state.estimates[kind];
      const value = computePaceValue(sample);
      const own = updatePaceEstimate(before, value);
      if (own === before) return;
      servers.set(incarnation, { ...state, estimates: { ...state.estimates, [kind]: own } });
      // The average of the servers' estimates, not of the samples: the low samples of the fastest
      // server would otherwise be the estimate of the whole service.
      const serviceState = readService(service);
      const usual = serviceState.estimates[kind];
      const updated = {
        value: updateMovingAverage(usual.value, own.value, SERVICE_WEIGHT),
        samples: usual.samples + 1,
      };
      services.set(service, {
        ...serviceState,
        estimates: { ...serviceState.estimates, [kind]: updated },
        commonEstimates: {
          ...serviceState.commonEstimates,
          [kind]: updatePaceEstimate(serviceState.commonEstimates[kind], value),
        },
      });
    },
    recordWorkFactor: ({ incarnation, service }, workFactor) => {
      if (!Number.isFinite(workFactor) || workFactor <= 0) return;
      const factorAtMs = clock.readMonotonicMs();
      servers.set(incarnation, { ...readServer(incarnation), workFactor, factorAtMs });
      services.set(service, { ...readService(service), factorAtMs });
    },
    readPace,
    // No server has an empty incarnation.
    readServicePace: (service) => readPace({ service, incarnation: '' }),
    isUneven,
    forgetServer: servers.delete,
  };
};
