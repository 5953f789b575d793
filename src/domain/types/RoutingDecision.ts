/** A decision about routing or placement, one JSON log line each; never holds text or keys. */
export interface RoutingDecision {
  readonly kind:
    'route' | 'refuse' | 'queue' | 'resume' | 'suspect' | 'recover' | 'order' | 'hand-over';
  readonly requestId: string;
  readonly workspace: string;
  readonly service: string;
  /** Servers that passed every filter. */
  readonly candidates: readonly string[];
  readonly filtered: readonly FilteredServer[];
  /** The chosen backend server, or empty. */
  readonly choice: string;
  readonly reason: string;
  readonly configurationVersion: number;
}

/** A server that a filter removed, with the reason. */
export interface FilteredServer {
  readonly backendServer: string;
  readonly reason: string;
}
