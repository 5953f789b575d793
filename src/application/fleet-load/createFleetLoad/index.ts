import { MAX_LOAD_BYTES, type LoadPart } from '../../../domain/fleet-load';
import { startLoop } from '../../time';
import { createCollectorRanking } from '../_lib/createCollectorRanking';
import { createLoadViews } from '../_lib/createLoadViews';
import { createOwnLoad } from '../_lib/createOwnLoad';
import { createPartLimiter } from '../_lib/createPartLimiter';
import { createZoneCollector } from '../_lib/createZoneCollector';
import type { FleetLoad, FleetLoadDependencies, FleetLoadPeer } from '../types';

/** Interval between reports, and between exchanges: several of them within the life of a part. */
const INTERVAL_MS = 500;

/** VMs that start together must not all report at once. */
const JITTER = 0.2;

/**
 * Creates the load of the fleet.
 *
 * A VM with recent requests reports them to the collector of its availability zone, and gets the
 * sums of all zones back. Collectors exchange the sums of their zones. Without requests of enabled
 * services, and without reports of others, nothing runs and nothing is sent.
 */
export const createFleetLoad = (dependencies: FleetLoadDependencies): FleetLoad => {
  const { calls, clock, log, randomness, self } = dependencies;
  const incarnation = clock.readWallMs();
  let sequence = 0;
  let isStopped = false;
  let stopLoop: (() => void) | null = null;

  const buildStatement = (): Pick<LoadPart, 'incarnation' | 'sequence'> => {
    sequence += 1;
    return { incarnation, sequence };
  };
  const limitPart = createPartLimiter(dependencies);
  const own = createOwnLoad(dependencies);
  const ranking = createCollectorRanking(dependencies);
  const collector = createZoneCollector({ ...dependencies, buildStatement, limitPart });
  const views = createLoadViews(dependencies);

  const buildPart = (): LoadPart | null => {
    const services = own.readServices();
    if (services.length === 0) return null;
    const part = {
      ...buildStatement(),
      vm: self.vm,
      availabilityZone: self.availabilityZone,
      vms: 1,
      ageMs: 0,
      roundTripMs: null,
      omittedServers: 0,
      services,
    };
    return limitPart(part, MAX_LOAD_BYTES);
  };

  const listZones = ({ services }: LoadPart): readonly LoadPart[] =>
    collector.listZones(new Set(services.map(({ service }) => service)));

  const reportPart = async (part: LoadPart): Promise<void> => {
    const { address, vm } = ranking.findOwn();
    if (address === null) {
      collector.mergePart(part);
      views.recordAnswer(part, listZones(part), 0);
      return;
    }
    const startedAtMs = clock.readMonotonicMs();
    const zones = await calls.reportLoad(address, part);
    if (zones) views.recordAnswer(part, zones, clock.readMonotonicMs() - startedAtMs);
    else ranking.skip(vm);
  };

  const exchangeZone = async (
    { address, availabilityZone, vm }: FleetLoadPeer,
    zone: LoadPart,
  ): Promise<void> => {
    const startedAtMs = clock.readMonotonicMs();
    const answer = await calls.exchangeLoad(address, zone);
    if (!answer) {
      ranking.skip(vm);
      return;
    }
    if (availabilityZone !== self.availabilityZone)
      collector.recordRoundTrip(availabilityZone, clock.readMonotonicMs() - startedAtMs);
    if (answer.zone) collector.mergeZone(answer.zone);
  };

  const computeDelayMs = (): number =>
    INTERVAL_MS * (1 + JITTER * (randomness.readFraction() - 0.5));

  const runStep = async (): Promise<number | null> => {
    const part = buildPart();
    const zone = collector.buildZone();
    if (!part && !zone) {
      stopLoop = null;
      return null;
    }
    await Promise.all([
      part && reportPart(part),
      ...(zone ? ranking.listOthers().map((other) => exchangeZone(other, zone)) : []),
    ]);
    return computeDelayMs();
  };

  const wakeLoop = (): void => {
    if (stopLoop || isStopped) return;
    stopLoop = startLoop({
      clock,
      firstDelayMs: INTERVAL_MS * randomness.readFraction(),
      runStep,
      handleFailure: (reason) => {
        log.error('load of the fleet failed unexpectedly', { reason });
        return INTERVAL_MS;
      },
    });
  };

  return {
    recordArrival: (service) => {
      if (own.recordArrival(service)) wakeLoop();
    },
    readLoad: views.readLoad,
    listLoads: views.listLoads,
    handleReport: (part) => {
      collector.mergePart(part);
      wakeLoop();
      return listZones(part);
    },
    handleExchange: (zone) => {
      collector.mergeZone(zone);
      return collector.buildZone();
    },
    stop: () => {
      isStopped = true;
      stopLoop?.();
    },
  };
};
