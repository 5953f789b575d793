import type { ProcessFleet } from '../startProcessFleet';

const SERVICE = 's';
const ZONE = 'z0';

/** Share of the zone's servers that crash at a time. */
const SHARE = 0.9;

/** Crashes most servers of an availability zone again and again; the returned function stops this. */
export const startZoneLosses = (
  fleet: Pick<ProcessFleet, 'crashServer' | 'listServers'>,
  intervalMs: number,
): (() => void) => {
  const crashZone = (): void => {
    const servers = fleet.listServers(SERVICE, ZONE);
    servers.slice(0, Math.round(SHARE * servers.length)).forEach(fleet.crashServer);
  };
  crashZone();
  const timer = setInterval(crashZone, intervalMs);
  return () => clearInterval(timer);
};
