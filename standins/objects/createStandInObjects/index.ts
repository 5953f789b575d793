import { Hono } from 'hono';
import { createFaultyServer, type FaultyServer, type ServerEnv } from '../../http';

/** A stand-in of the platform's object store. */
export interface StandInObjects extends FaultyServer {
  listKeys(): readonly string[];
}

const WRITE_METHODS: ReadonlySet<string> = new Set(['PUT', 'DELETE']);

const renderError = (code: string): string => `<Error><Code>${code}</Code></Error>`;

/** Creates an S3-protocol object store in memory: GET, HEAD, PUT with If-None-Match, DELETE. */
export async function createStandInObjects(): Promise<StandInObjects> {
  const objects = new Map<string, ArrayBuffer>();
  const app = new Hono<ServerEnv>();
  app.use('*', async (c, next) => {
    const signed = c.req.header('authorization')?.startsWith('AWS4-HMAC-SHA256 ');
    if (!signed) return c.body(renderError('AccessDenied'), 403);
    return next();
  });
  // Hono answers HEAD through the GET route, without the body.
  app.get('*', (c) => {
    const content = objects.get(c.req.path);
    return content === undefined ? c.body(renderError('NoSuchKey'), 404) : c.body(content);
  });
  app.put('*', async (c) => {
    const content = await c.req.arrayBuffer();
    const onlyIfAbsent = c.req.header('if-none-match') === '*';
    if (onlyIfAbsent && objects.has(c.req.path)) {
      return c.body(renderError('PreconditionFailed'), 412);
    }
    objects.set(c.req.path, content);
    return c.body(null, 200);
  });
  app.delete('*', (c) => {
    objects.delete(c.req.path);
    return c.body(null, 204);
  });
  const server = await createFaultyServer(app, (c) => WRITE_METHODS.has(c.req.method));
  return { ...server, listKeys: () => [...objects.keys()] };
}
