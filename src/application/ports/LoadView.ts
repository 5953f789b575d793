import type { CacheEvent, LoadReport } from '../../domain/types';

/** Attempts that a peer has running on a server. */
export interface PeerAttempts {
  readonly backendServer: string;
  readonly running: number;
}

/** Load of backend servers: delayed reports, corrected by the attempts of this VM and its peers. */
export interface LoadView {
  /** Records a report if it is newer than the held one. */
  recordReport(report: LoadReport): void;
  recordCacheEvents(backendServer: string, events: readonly CacheEvent[]): void;
  recordPeerSends(vm: string, sends: readonly PeerAttempts[]): void;
  listReports(): readonly LoadReport[];
  /** Lists this VM's running attempts by server, to be sent to peers. */
  listOwnSends(): readonly PeerAttempts[];
}
