import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';

/** What each request's context carries. */
export interface CallerEnvironment {
  readonly Bindings: HttpBindings;
  readonly Variables: {
    requestId: string;
    /** Code of the error that was answered, if one was. */
    errorCode?: string;
  };
}

/** Context of one request on the callers' interface. */
export type CallerContext = Context<CallerEnvironment>;
