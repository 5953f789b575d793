import type { ServerEntry } from '../../../../domain/forwarding';
import type { ProbeAllowance } from '../../createProbeAllowance';

/** Servers that were probed, and those of them that gave no answer. */
export interface ProbeResult {
  readonly probed: readonly ServerEntry[];
  readonly missed: readonly ServerEntry[];
}

/** Dependencies of the prober. */
export interface ServerProberDependencies {
  readonly allowance: Pick<ProbeAllowance, 'take'>;
  /** True if the server answers on a new connection of this VM. */
  readonly probeServer: (server: ServerEntry) => Promise<boolean>;
  readonly recordAnswer: (id: string) => void;
  readonly recordMiss: (id: string) => void;
}

/** Probes servers, each once at a time. */
export interface ServerProber {
  /** Probes a server, whatever the allowance. */
  probe(server: ServerEntry): Promise<boolean>;
  /** Probes servers as far as the allowance goes; `reserve` is what it leaves there. */
  probeSome(servers: readonly ServerEntry[], reserve: number): Promise<ProbeResult>;
}

/** Creates the prober. */
export const createServerProber = ({
  allowance,
  probeServer,
  recordAnswer,
  recordMiss,
}: ServerProberDependencies): ServerProber => {
  /** Running probes by id, shared by all that need them. */
  const running = new Map<string, Promise<boolean>>();

  const probeNow = async (server: ServerEntry): Promise<boolean> => {
    const hasAnswered = await probeServer(server);
    if (hasAnswered) recordAnswer(server.id);
    else recordMiss(server.id);
    return hasAnswered;
  };

  const probe = (server: ServerEntry): Promise<boolean> => {
    const known = running.get(server.id);
    if (known) return known;
    const started = probeNow(server).finally(() => running.delete(server.id));
    running.set(server.id, started);
    return started;
  };

  return {
    probe,
    probeSome: async (servers, reserve) => {
      const probed = servers.slice(0, allowance.take(servers.length, reserve));
      const answers = await Promise.all(probed.map(probe));
      return { probed, missed: probed.filter((_, index) => !answers[index]) };
    },
  };
};
