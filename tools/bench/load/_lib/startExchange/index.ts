import type { Clock } from '../../../../../src/application/ports';
import type { BenchEntry } from '../createBenchEntry';

/** Time between two exchanges of news among entry VMs. */
const EXCHANGE_INTERVAL_MS = 500;

/** Exchanges load reports, sends and suspicions between entries as the peers' exchange does. */
export function startExchange(entries: readonly BenchEntry[], clock: Clock): () => void {
  let cancelTimer = (): void => {};
  const exchange = (): void => {
    entries.forEach((from) => {
      const sends = from.load.listOwnSends();
      const reports = from.load.listReports();
      const suspicions = from.health.listSuspicions();
      entries
        .filter((to) => to !== from)
        .forEach((to) => {
          to.load.recordPeerSends(from.vm, sends);
          reports.forEach(to.load.recordReport);
          suspicions.forEach(to.health.recordSuspicion);
        });
    });
    cancelTimer = clock.startTimer(EXCHANGE_INTERVAL_MS, exchange);
  };
  exchange();
  return () => cancelTimer();
}
