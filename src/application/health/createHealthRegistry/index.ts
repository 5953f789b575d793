import { BackendHealth, type Suspicion } from '../../../domain/types';
import type { HealthRegistry } from '../../ports';

/** What the registry needs. */
export interface HealthRegistryDependencies {
  /** Name of this VM: evidence under it is its own. */
  readonly vm: string;
}

interface ServerRecord {
  readonly suspicion: Suspicion | null;
  readonly epoch: number;
  readonly leaving: boolean;
}

type Listener = (backendServer: string, health: BackendHealth) => void;

const UNKNOWN: ServerRecord = { suspicion: null, epoch: 0, leaving: false };

const readRecordHealth = ({ suspicion, leaving }: ServerRecord): BackendHealth => {
  if (suspicion) return suspicion.confirmed ? BackendHealth.Dead : BackendHealth.Suspected;
  return leaving ? BackendHealth.Leaving : BackendHealth.Serving;
};

/**
 * Creates the registry of backend servers' health.
 *
 * Each change of a server raises its epoch, as in a Lamport clock: own evidence gets the next
 * epoch, whatever number it carries, and a peer's counts only if it is newer than what is held.
 * So a suspicion that was overtaken by a recovery does not come back with a late message.
 *
 * @param dependencies - Name of this VM.
 * @returns Registry, in which unknown servers are serving.
 */
export const createHealthRegistry = ({ vm }: HealthRegistryDependencies): HealthRegistry => {
  const records = new Map<string, ServerRecord>();
  const listeners = new Set<Listener>();

  const readRecord = (backendServer: string): ServerRecord => records.get(backendServer) ?? UNKNOWN;

  const writeRecord = (backendServer: string, next: ServerRecord): void => {
    const before = readRecordHealth(readRecord(backendServer));
    records.set(backendServer, next);
    const after = readRecordHealth(next);
    if (before === after) return;
    listeners.forEach((listener) => listener(backendServer, after));
  };

  return {
    readHealth: (backendServer) => readRecordHealth(readRecord(backendServer)),
    recordSuspicion: (suspicion) => {
      const held = readRecord(suspicion.backendServer);
      const isOwn = suspicion.vm === vm;
      const isWeaker = held.suspicion?.confirmed === true && !suspicion.confirmed;
      const isKnown = held.suspicion !== null && held.suspicion.confirmed === suspicion.confirmed;
      if (isWeaker || isKnown) return;
      const confirmsHeld = held.suspicion !== null && suspicion.epoch === held.epoch;
      if (!isOwn && suspicion.epoch <= held.epoch && !confirmsHeld) return;
      const epoch = isOwn ? held.epoch + 1 : suspicion.epoch;
      writeRecord(suspicion.backendServer, {
        ...held,
        suspicion: { ...suspicion, epoch },
        epoch,
      });
    },
    recordRecovery: (backendServer) => {
      const held = readRecord(backendServer);
      if (!held.suspicion) return;
      writeRecord(backendServer, { ...held, suspicion: null, epoch: held.epoch + 1 });
    },
    recordLeaving: (backendServer, leaving) => {
      const held = readRecord(backendServer);
      if (held.leaving !== leaving) writeRecord(backendServer, { ...held, leaving });
    },
    listSuspicions: () =>
      [...records.values()].flatMap(({ suspicion }) => (suspicion ? [suspicion] : [])),
    addListener: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};
