import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { StoreError, TableStore } from '../../../application/ports';
import {
  createPlatformClient,
  type PlatformDependencies,
  type PlatformSettings,
} from '../../platform-http';
import { convertCondition } from '../_lib/convertCondition';
import { convertFromWireItem, convertToWireItem, WireItem } from '../_lib/convertItem';
import { convertTableError } from '../_lib/convertTableError';

/** Settings of the table client. */
export interface DynamoTableSettings extends PlatformSettings {
  readonly tableName: string;
}

type Operation = 'GetItem' | 'Query' | 'PutItem' | 'DeleteItem';

const WRITES: ReadonlySet<Operation> = new Set<Operation>(['PutItem', 'DeleteItem']);

const ItemAnswer = z.object({ Item: WireItem.optional() });
const QueryAnswer = z.object({ Items: z.array(WireItem) });
const WriteAnswer = z.object({});

function parseAnswer<T>(text: string, schema: z.ZodType<T>): Result<T, StoreError> {
  try {
    return ok(schema.parse(JSON.parse(text)));
  } catch {
    return err({ kind: 'invalid', reason: 'malformed answer of the table' });
  }
}

/**
 * Creates a client of a table with the DynamoDB JSON protocol. Each call has a deadline and is sent
 * once, without retries; reads are strongly consistent.
 */
export function createDynamoTableStore(
  settings: DynamoTableSettings,
  dependencies: PlatformDependencies,
): TableStore {
  const client = createPlatformClient(settings, dependencies);
  const call = async <T>(
    operation: Operation,
    parameters: Readonly<Record<string, unknown>>,
    schema: z.ZodType<T>,
  ): Promise<Result<T, StoreError>> => {
    const write = WRITES.has(operation);
    const response = await client.sendRequest({
      method: 'POST',
      path: '/',
      headers: {
        'content-type': 'application/x-amz-json-1.0',
        'x-amz-target': `DynamoDB_20120810.${operation}`,
      },
      body: JSON.stringify({ TableName: settings.tableName, ...parameters }),
      service: 'dynamodb',
      write,
    });
    return response.andThen(({ status, content }) => {
      const text = new TextDecoder().decode(content);
      return status === 200
        ? parseAnswer(text, schema)
        : err(convertTableError(status, text, write));
    });
  };

  return {
    readItem: async (partition, sort) => {
      const answer = await call(
        'GetItem',
        { Key: { pk: { S: partition }, sk: { S: sort } }, ConsistentRead: true },
        ItemAnswer,
      );
      return answer.map(({ Item }) => (Item === undefined ? null : convertFromWireItem(Item)));
    },
    listItems: async (partition, { limit, descending }) => {
      const answer = await call(
        'Query',
        {
          KeyConditionExpression: 'pk = :pk',
          ExpressionAttributeValues: { ':pk': { S: partition } },
          ScanIndexForward: !descending,
          Limit: limit,
          ConsistentRead: true,
        },
        QueryAnswer,
      );
      return answer.map(({ Items }) => Items.map(convertFromWireItem));
    },
    writeItem: async (item, condition) => {
      const parameters = { Item: convertToWireItem(item), ...convertCondition(condition) };
      return (await call('PutItem', parameters, WriteAnswer)).map(() => undefined);
    },
    removeItem: async (partition, sort, condition) => {
      const parameters = {
        Key: { pk: { S: partition }, sk: { S: sort } },
        ...convertCondition(condition),
      };
      return (await call('DeleteItem', parameters, WriteAnswer)).map(() => undefined);
    },
  };
}
