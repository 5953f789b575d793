import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import { z } from 'zod';
import type { StreamStart } from '../../types';
import type { EngineCore } from '../createEngineCore';
import type { FaultSwitch } from '../createFaultSwitch';
import { parseStreamStart } from '../parseStreamStart';

interface Bindings {
  Bindings: HttpBindings;
}

const orderSchema = z.object({
  fencing_token: z.number().int(),
  models: z.array(z.object({ model: z.string(), version: z.string(), adapter: z.string() })),
  role: z.string(),
});

const buildError = (code: string, message: string) => ({ error: { message, code } });

const RETRY_AFTER_S = '1';

/** The engine and the faults that are applied before it answers. */
interface Handlers {
  readonly core: EngineCore;
  readonly faults: FaultSwitch;
}

async function handleStart(
  { core, faults }: Handlers,
  object: StreamStart['object'],
  context: Context<Bindings>,
): Promise<Response> {
  const body: unknown = await context.req.json().catch(() => null);
  const parsed = parseStreamStart(object, body);
  if (parsed.isErr()) return context.json(buildError('bad_request', parsed.error), 400);
  const start = parsed.value;
  if (core.isLeaving()) return context.json(buildError('leaving', 'engine is leaving'), 503);
  if (!core.models.has(start)) {
    return context.json(buildError('model_not_loaded', `model ${start.model} not loaded`), 503);
  }
  if (core.store.findStream(start.streamId) !== undefined) {
    return context.json(buildError('stream_exists', 'stream id in use'), 409);
  }
  const stream = core.startStream(start);
  if (stream === null) {
    const headers = { 'Retry-After': RETRY_AFTER_S };
    return context.json(buildError('full', 'queue is full'), 429, headers);
  }
  if (faults.takeDroppedAnswer()) {
    context.env.incoming.socket.destroy();
    core.store.startKeepTimer(stream);
    return RESPONSE_ALREADY_SENT;
  }
  core.store.addReader(stream, context.env.outgoing, start.prefixTokenIds.length);
  return RESPONSE_ALREADY_SENT;
}

function handleRead(core: EngineCore, context: Context<Bindings>): Response {
  const stream = core.store.findStream(context.req.param('stream') ?? '');
  if (stream === undefined) return context.json(buildError('unknown', 'no such stream'), 404);
  const offset = Number(context.req.query('offset') ?? 0);
  const first = stream.start.prefixTokenIds.length;
  if (!Number.isInteger(offset) || offset < first || offset > stream.countTokens()) {
    return context.json(buildError('bad_offset', `offset ${offset} is not held`), 416);
  }
  core.store.addReader(stream, context.env.outgoing, offset);
  return RESPONSE_ALREADY_SENT;
}

async function handleOrder(core: EngineCore, context: Context<Bindings>): Promise<Response> {
  const parsed = orderSchema.safeParse(await context.req.json().catch(() => null));
  if (!parsed.success) {
    return context.json(buildError('bad_request', z.prettifyError(parsed.error)), 400);
  }
  const isApplied = core.models.applyOrder(parsed.data);
  if (isApplied) return context.body(null, 202);
  return context.json({ fencing_token: core.models.readFencingToken() }, 409);
}

/** Builds the routes of the engine protocol. */
export function buildEngineRoutes(handlers: Handlers): Hono<Bindings> {
  const { core, faults } = handlers;
  const app = new Hono<Bindings>();
  app.use('*', async (_context, next) => {
    await faults.waitUntilThawed();
    await next();
  });
  app.post('/v1/chat/completions', (c) => handleStart(handlers, 'chat.completion.chunk', c));
  app.post('/v1/completions', (c) => handleStart(handlers, 'text_completion', c));
  app.get('/v1/streams/:stream', (c) => handleRead(core, c));
  app.delete('/v1/streams/:stream', (c) => {
    core.cancelStream(c.req.param('stream'));
    return c.body(null, 204);
  });
  app.get('/load', (c) => c.json(core.buildLoad()));
  app.get('/cache-events', (c) =>
    c.json({ events: core.cache.listEvents(Number(c.req.query('after') ?? 0)) }),
  );
  app.post('/orders', (c) => handleOrder(core, c));
  app.get('/health', (c) => c.text('ok'));
  return app;
}
