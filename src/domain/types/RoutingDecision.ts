/**
 * A decision about routing or placement, logged as one JSON line. Contains no prompt text and no
 * keys.
 */
export interface RoutingDecision {
  readonly kind:
    'route' | 'refuse' | 'queue' | 'resume' | 'suspect' | 'recover' | 'order' | 'hand-over';
  readonly requestId: string;
  readonly workspace: string;
  readonly service: string;
  /** Servers that passed all filters. */
  readonly candidates: readonly string[];
  readonly filtered: readonly FilteredServer[];
  /** The chosen backend server, or empty. */
  readonly choice: string;
  readonly reason: string;
  readonly configurationVersion: number;
}

/** A server that a filter excluded, with the reason. */
export interface FilteredServer {
  readonly backendServer: string;
  readonly reason: string;
}
