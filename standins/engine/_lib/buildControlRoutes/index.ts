import { Hono } from 'hono';
import { z } from 'zod';
import { FaultKind, type StandInEngine } from '../../types';

const faultSchema = z.enum(FaultKind);

const plannedSchema = z.object({
  fault: faultSchema,
  at: z.union([z.literal('prefill'), z.number().int().positive()]),
  streamId: z.string().default(''),
});

const slowSchema = z.object({ multiplier: z.number().positive() });

const dropSchema = z.object({ count: z.number().int().nonnegative() });

/** Builds the routes through which tests in other processes inject faults and read the log. */
export function buildControlRoutes(engine: StandInEngine): Hono {
  const app = new Hono();
  app.onError((error, c) =>
    c.json({ error: { message: error.message, code: 'bad_request' } }, 400),
  );
  app.post('/fault/:fault', (c) => {
    const fault = faultSchema.parse(c.req.param('fault'));
    // Deferred, since a kill destroys the connection of this answer.
    setImmediate(() => engine.applyFault(fault));
    return c.body(null, 202);
  });
  app.post('/planned-fault', async (c) => {
    engine.addPlannedFault(plannedSchema.parse(await c.req.json()));
    return c.body(null, 204);
  });
  app.post('/slow', async (c) => {
    engine.updateSlowness(slowSchema.parse(await c.req.json()).multiplier);
    return c.body(null, 204);
  });
  app.post('/drop-answers', async (c) => {
    engine.dropAnswers(dropSchema.parse(await c.req.json()).count);
    return c.body(null, 204);
  });
  app.get('/log', (c) => c.json({ attempts: engine.listAttempts() }));
  app.get('/wait-for-tokens', async (c) => {
    const count = Number(c.req.query('count') ?? 1);
    return c.json(await engine.waitForTokens(count, c.req.query('stream_id') ?? ''));
  });
  return app;
}
