import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import { z } from 'zod';
import { createLoopbackServer } from '../../_lib/createLoopbackServer';
import { PlainFault, type ExecutedCall, type StandInPlainService } from '../types';

type PlainContext = Context<{ Bindings: HttpBindings }>;

const faultSchema = z.object({
  fault: z.enum(PlainFault),
  count: z.number().int().positive().default(1),
});

interface CallWaiter {
  readonly count: number;
  readonly resolve: () => void;
}

/** Options of a stand-in plain service. */
export interface StandInPlainServiceOptions {
  /** 0, the default, for any free port. */
  readonly port?: number;
  /** Called first by a kill; a process ends itself here. */
  readonly handleKill?: () => void;
}

/**
 * Creates a plain service that takes any method on any path, and starts it on 127.0.0.1.
 *
 * It answers with the call as it executed it, and keeps a list of all executed calls, so that a
 * test sees a call that ran twice. Faults: methods, or `POST /control/fault`.
 */
export async function createStandInPlainService(
  options: StandInPlainServiceOptions = {},
): Promise<StandInPlainService> {
  const server = createLoopbackServer(options.port ?? 0);
  const calls: ExecutedCall[] = [];
  let plan: readonly PlainFault[] = [];
  let waiters: readonly CallWaiter[] = [];
  let heldAnswers: (() => void)[] = [];

  const execute = async (c: PlainContext): Promise<ExecutedCall> => {
    const call = {
      requestId: c.req.header('jackdaw-request-id') ?? '',
      method: c.req.method,
      path: c.req.path,
      body: await c.req.text(),
    };
    calls.push(call);
    waiters.filter(({ count }) => calls.length >= count).forEach(({ resolve }) => resolve());
    waiters = waiters.filter(({ count }) => calls.length < count);
    return call;
  };
  const destroyConnection = (c: PlainContext) => {
    c.env.incoming.socket.destroy();
    return RESPONSE_ALREADY_SENT;
  };
  const waitForRelease = () =>
    new Promise<void>((resolve) => {
      heldAnswers.push(resolve);
    });
  const handlers: Readonly<
    Record<PlainFault | 'none', (c: PlainContext) => Promise<Response> | Response>
  > = {
    none: async (c) => c.json(await execute(c)),
    'drop-answer': async (c) => {
      await execute(c);
      return destroyConnection(c);
    },
    delay: async (c) => {
      const call = await execute(c);
      await waitForRelease();
      return c.json(call);
    },
    refuse: (c) => c.json({ error: 'refused' }, 503, { 'Retry-After': '1' }),
    'drop-request': destroyConnection,
    fail: async (c) => c.json(await execute(c), 500),
  };

  const releaseAnswers = () => {
    const released = heldAnswers;
    heldAnswers = [];
    released.forEach((release) => release());
  };
  const service: StandInPlainService = {
    get port() {
      return server.readPort();
    },
    get url() {
      return `http://127.0.0.1:${server.readPort()}`;
    },
    addFault: (fault, count) => {
      plan = [...plan, ...Array.from({ length: count }, () => fault)];
    },
    releaseAnswers,
    listCalls: () => [...calls],
    waitForCalls: async (count) => {
      if (calls.length < count) {
        await new Promise<void>((resolve) => {
          waiters = [...waiters, { count, resolve }];
        });
      }
      return [...calls];
    },
    kill: async () => {
      options.handleKill?.();
      await server.stop();
    },
    restart: server.restart,
    stop: async () => {
      await server.stop();
      releaseAnswers();
    },
  };

  const app = new Hono<{ Bindings: HttpBindings }>();
  app.post('/control/fault', async (c) => {
    const parsed = faultSchema.safeParse(await c.req.json().catch(() => null));
    if (!parsed.success) return c.text(z.prettifyError(parsed.error), 400);
    service.addFault(parsed.data.fault, parsed.data.count);
    return c.body(null, 204);
  });
  app.post('/control/release', (c) => {
    releaseAnswers();
    return c.body(null, 204);
  });
  app.post('/control/kill', (c) => {
    setImmediate(service.kill);
    return c.body(null, 202);
  });
  app.get('/control/log', (c) => c.json({ calls }));
  app.get('/control/wait-for-calls', async (c) =>
    c.json({ calls: await service.waitForCalls(Number(c.req.query('count') ?? 1)) }),
  );
  app.get('/health', (c) => c.text('ok'));
  app.all('*', (c) => {
    const [fault = 'none'] = plan;
    plan = plan.slice(1);
    return handlers[fault](c);
  });
  await server.start(app.fetch);
  return service;
}
