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
      const held = readRecord(suspicion.backendServer);
      const isOwn = suspicion.vm === vm;
      const isWeaker = held.suspicion?.confirmed === true && !suspicion.confirmed;
      const isDuplicate =
        held.suspicion !== null && held.suspicion.confirmed === suspicion.confirmed;
      if (isWeaker || isDuplicate) return;
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
