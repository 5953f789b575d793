import { findRoute, RouteKind, type RequestHead, type RouteTable } from '../../forwarding';
import { MemoryUse } from '../types';

/** Finds what a request's bytes are held for, by its route; a request without route is a call. */
export const findMemoryUse = (
  table: RouteTable | null,
  { host, target }: Pick<RequestHead, 'host' | 'target'>,
): MemoryUse => {
  const route = table ? findRoute(table, host, target) : null;
  return route?.kind === RouteKind.Stream ? MemoryUse.Stream : MemoryUse.Call;
};
