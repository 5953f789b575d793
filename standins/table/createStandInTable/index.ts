import { Hono, type Context } from 'hono';
import { createFaultyServer, type FaultyServer, type ServerEnv } from '../../http';
import { createTableOperations, type TableRequest } from '../_lib/createTableOperations';

/** A stand-in of the platform's table service. */
export type StandInTable = FaultyServer;

const TARGET_PREFIX = 'DynamoDB_20120810.';

const READ_OPERATIONS: ReadonlySet<string> = new Set(['GetItem', 'Query']);

const readOperation = (c: Context<ServerEnv>): string =>
  (c.req.header('x-amz-target') ?? '').replace(TARGET_PREFIX, '');

/** Creates a table in memory behind the DynamoDB JSON protocol, with consistent reads. */
export async function createStandInTable(): Promise<StandInTable> {
  const operations = createTableOperations();
  const app = new Hono<ServerEnv>();
  app.post('/', async (c) => {
    const signed = c.req.header('authorization')?.startsWith('AWS4-HMAC-SHA256 ');
    const operation = operations.get(readOperation(c));
    if (!signed || operation === undefined) {
      const type = signed ? 'UnknownOperationException' : 'MissingAuthenticationTokenException';
      return c.json({ __type: type }, 400);
    }
    const answer = operation(await c.req.json<TableRequest>());
    return c.body(JSON.stringify(answer.body), answer.status === 200 ? 200 : 400, {
      'content-type': 'application/x-amz-json-1.0',
    });
  });
  return createFaultyServer(app, (c) => !READ_OPERATIONS.has(readOperation(c)));
}
