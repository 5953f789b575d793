import { BackendHealth, type Suspicion } from '../../../domain/types';
import type { HealthRegistry } from '../../ports';

/** Dependencies of the health registry. */
export interface HealthRegistryDependencies {
  /** Name of this VM; suspicions with this name are own evidence. */
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
 * Each change of a server increments its epoch, as in a Lamport clock. Own evidence always gets the
 * next epoch; the evidence of a peer counts only if its epoch is newer. A late message therefore
 * cannot restore a suspicion that a recovery has cleared.
 *
 * @param dependencies - Name of this VM.
 * @returns Registry; unknown servers count as serving.
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
      const current = readRecord(suspicion.backendServer);
      const isOwn = suspicion.vm === vm;
      const isWeaker = current.suspicion?.confirmed === true && !suspicion.confirmed;
      const isDuplicate =
        current.suspicion !== null && current.suspicion.confirmed === suspicion.confirmed;
      if (isWeaker || isDuplicate) return;
      const confirmsCurrent = current.suspicion !== null && suspicion.epoch === current.epoch;
      if (!isOwn && suspicion.epoch <= current.epoch && !confirmsCurrent) return;
      const epoch = isOwn ? current.epoch + 1 : suspicion.epoch;
      writeRecord(suspicion.backendServer, {
        ...current,
        suspicion: { ...suspicion, epoch },
        epoch,
      });
    },
    recordRecovery: (backendServer) => {
      const current = readRecord(backendServer);
      if (!current.suspicion) return;
      writeRecord(backendServer, { ...current, suspicion: null, epoch: current.epoch + 1 });
    },
    recordLeaving: (backendServer, leaving) => {
      const current = readRecord(backendServer);
      if (current.leaving !== leaving) writeRecord(backendServer, { ...current, leaving });
    },
    listSuspicions: () =>
      [...records.values()].flatMap(({ suspicion }) => (suspicion ? [suspicion] : [])),
    addListener: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};
