import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';

/** Bindings and variables of each request's context. */
export interface CallerEnvironment {
  readonly Bindings: HttpBindings;
  readonly Variables: {
    requestId: string;
    /** Code of the error sent to the caller, if any. */
    errorCode?: string;
  };
}

/** Context of one request of the callers' API. */
export type CallerContext = Context<CallerEnvironment>;
