import type { PaceSample, ServerPace } from '../../../domain/paces';

/** Identifies a server among those of its service. */
export interface PacedServer {
  readonly service: string;
  /** Incarnation of the server (see `formatIncarnation`): a restarted server begins anew. */
  readonly incarnation: string;
}

/** The paces of the servers, as observed by this VM or told by others. */
export interface ServerPaces {
  record(server: PacedServer, sample: PaceSample): void;
  /** Records how long work takes at the server now; 1 is as usual. */
  recordWorkFactor(server: PacedServer, workFactor: number): void;
  /** Reads the pace of a server; unknown parts are those of its service. */
  readPace(server: PacedServer): ServerPace;
  /** Reads the pace of a service: of a server that is not known yet. */
  readServicePace(service: string): ServerPace;
  /** True if servers of the service state how long work takes at present. */
  isUneven(service: string): boolean;
  forgetServer(incarnation: string): void;
}
