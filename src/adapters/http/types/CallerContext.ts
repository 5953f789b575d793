import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';

/** What each request's context carries. */
export interface CallerEnvironment {
  readonly Bindings: HttpBindings;
  readonly Variables: { requestId: string };
}

/** Context of one request on the callers' interface. */
export type CallerContext = Context<CallerEnvironment>;
