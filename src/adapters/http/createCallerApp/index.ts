import { Hono } from 'hono';
import { parseRequestId } from '../../../domain/request';
import { Endpoint } from '../../../domain/types';
import { handleCancel } from '../_lib/handleCancel';
import { handleGeneration } from '../_lib/handleGeneration';
import { handleModels } from '../_lib/handleModels';
import { handleResume } from '../_lib/handleResume';
import { handleService } from '../_lib/handleService';
import { sendError } from '../_lib/sendError';
import type { CallerContext, CallerDependencies, CallerEnvironment } from '../types';

/** Random bytes of a request id, enough to be unique across all entries. */
const REQUEST_ID_BYTES = 12;

/** Finds why this entry is not ready for new work; null if it is ready. */
const findUnreadyReason = (dependencies: CallerDependencies): string | null => {
  if (dependencies.shutdown.isDraining()) return 'shutting down';
  if (dependencies.configuration.readCurrent() === null) return 'no configuration';
  return dependencies.isCutOff() ? 'cut off' : null;
};

const addProbes = (app: Hono<CallerEnvironment>, dependencies: CallerDependencies): void => {
  app.get('/healthz', (context) => context.text('ok\n'));
  app.get('/readyz', (context) => {
    const reason = findUnreadyReason(dependencies);
    return reason === null ? context.text('ready\n') : context.text(`${reason}\n`, 503);
  });
  app.get('/metrics', async (context) =>
    context.text(await dependencies.metrics.render(), 200, {
      'Content-Type': dependencies.metrics.contentType,
    }),
  );
};

/**
 * Records each answer in the metrics under its route's pattern when the response closes. Errors are
 * also logged: a refusal before routing has no entry in the decision log.
 */
const recordAnswerOnClose = (context: CallerContext, dependencies: CallerDependencies): void => {
  const { clock, log, metrics } = dependencies;
  const startedMs = clock.readMonotonicMs();
  const { outgoing } = context.env;
  outgoing.once('close', () => {
    const route = context.req.routePath;
    const durationMs = clock.readMonotonicMs() - startedMs;
    const status = outgoing.statusCode;
    metrics.recordAnswer({ route, status, durationMs });
    const errorCode = context.get('errorCode');
    if (errorCode === undefined) return;
    const requestId = context.get('requestId');
    log.info('request answered with an error', { requestId, route, status, code: errorCode });
  });
};

/**
 * Creates the HTTP API for callers: OpenAI's endpoints, resuming, plain services and probes.
 *
 * @returns a Hono app for `startCallerServer`; it requires Node's request and response objects
 */
export const createCallerApp = (dependencies: CallerDependencies): Hono<CallerEnvironment> => {
  const app = new Hono<CallerEnvironment>();
  app.use(async (context, next) => {
    const callerRequestId = parseRequestId(context.req.header('Jackdaw-Request-Id'));
    context.set(
      'requestId',
      callerRequestId ?? `req_${dependencies.randomness.readHex(REQUEST_ID_BYTES)}`,
    );
    recordAnswerOnClose(context, dependencies);
    // Without this header, clients and load balancers would reuse their connections to an entry
    // that is shutting down.
    if (dependencies.shutdown.isDraining()) context.env.outgoing.setHeader('Connection', 'close');
    await next();
  });
  addProbes(app, dependencies);
  app.get('/v1/models', (context) => handleModels(context, dependencies));
  app.post('/v1/chat/completions', (context) =>
    handleGeneration(context, dependencies, Endpoint.Chat),
  );
  app.post('/v1/completions', (context) =>
    handleGeneration(context, dependencies, Endpoint.Completion),
  );
  app.on(['GET', 'POST'], '/v1/generations/:id/events', (context) =>
    handleResume(context, dependencies),
  );
  app.delete('/v1/generations/:id', (context) => handleCancel(context, dependencies));
  app.delete('/v1/generations/:id/events', (context) => handleCancel(context, dependencies));
  app.all('/services/:service/*', (context) => handleService(context, dependencies));
  app.all('/services/:service', (context) => handleService(context, dependencies));
  app.notFound((context) => sendError(context, { kind: 'unknown-path' }));
  app.onError((error, context) => {
    // The message may contain the caller's data, so only the error's name and location are logged.
    const place = error.stack?.split('\n')[1]?.trim() ?? '';
    dependencies.log.error('request failed', {
      requestId: context.get('requestId'),
      error: error.name,
      place,
    });
    return sendError(context, { kind: 'internal' });
  });
  return app;
};
