import type { CacheEvent, LoadReport } from '../../domain/types';

/** Attempts that a peer has running on a server. */
export interface PeerAttempts {
  readonly backendServer: string;
  readonly running: number;
}

/** What this VM knows of the load of back ends: late reports, corrected by own and peers' sends. */
export interface LoadView {
  /** Takes a report if it is newer than the one held. */
  recordReport(report: LoadReport): void;
  recordCacheEvents(backendServer: string, events: readonly CacheEvent[]): void;
  recordPeerSends(vm: string, sends: readonly PeerAttempts[]): void;
  listReports(): readonly LoadReport[];
  /** Own running attempts by server, for sharing with peers. */
  listOwnSends(): readonly PeerAttempts[];
}
