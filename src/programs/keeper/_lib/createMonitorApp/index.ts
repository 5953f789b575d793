import { Hono } from 'hono';
import type { KeeperMetrics } from '../../../../adapters/metrics';

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Creates the keeper's HTTP interface: health, readiness and metrics. */
export function createMonitorApp(deps: {
  readonly metrics: KeeperMetrics;
  readonly isReady: () => boolean;
}): Hono {
  const app = new Hono();
  app.get('/healthz', (context) => context.text('ok'));
  app.get('/readyz', (context) =>
    deps.isReady()
      ? context.text('ready', STATUS_OK)
      : context.text('no configuration, or the table does not answer', STATUS_UNAVAILABLE),
  );
  app.get('/metrics', async (context) =>
    context.body(await deps.metrics.render(), STATUS_OK, {
      'Content-Type': deps.metrics.contentType,
    }),
  );
  return app;
}
