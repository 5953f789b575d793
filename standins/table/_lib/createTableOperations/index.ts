import { checkCondition, type Attributes, type ConditionError } from '../checkCondition';

/** Body of a request, limited to the fields that the product sends. */
export interface TableRequest {
  readonly Key?: Attributes;
  readonly Item?: Attributes;
  readonly ConditionExpression?: string;
  readonly KeyConditionExpression?: string;
  readonly ExpressionAttributeValues?: Attributes;
  readonly ScanIndexForward?: boolean;
  readonly Limit?: number;
}

/** Status and JSON body of an answer. */
export interface TableAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** An operation of the table. */
export type TableOperation = (request: TableRequest) => TableAnswer;

const ERROR_PREFIX = 'com.amazonaws.dynamodb.v20120810#';

const renderError = (type: string, more: Readonly<Record<string, unknown>> = {}): TableAnswer => ({
  status: 400,
  body: { __type: `${ERROR_PREFIX}${type}`, message: type, ...more },
});

const renderConditionError: Readonly<
  Record<ConditionError['kind'], (current: Attributes | undefined) => TableAnswer>
> = {
  'condition-failed': (current) =>
    renderError('ConditionalCheckFailedException', current === undefined ? {} : { Item: current }),
  unsupported: () => renderError('ValidationException'),
};

/** Creates the operations on in-memory rows, by their name in the protocol. */
export function createTableOperations(): ReadonlyMap<string, TableOperation> {
  const partitions = new Map<string, Map<string, Attributes>>();
  const openPartition = (partition: string): Map<string, Attributes> => {
    const rows = partitions.get(partition) ?? new Map<string, Attributes>();
    partitions.set(partition, rows);
    return rows;
  };
  const runConditional = (
    key: Attributes | undefined,
    request: TableRequest,
    change: (rows: Map<string, Attributes>, sort: string) => void,
  ): TableAnswer => {
    const partition = key?.pk?.S;
    const sort = key?.sk?.S;
    if (partition === undefined || sort === undefined) return renderError('ValidationException');
    const rows = openPartition(partition);
    const current = rows.get(sort);
    return checkCondition(
      request.ConditionExpression ?? '',
      current,
      request.ExpressionAttributeValues ?? {},
    ).match(
      () => {
        change(rows, sort);
        return { status: 200, body: {} };
      },
      (error) => renderConditionError[error.kind](current),
    );
  };

  return new Map<string, TableOperation>([
    [
      'GetItem',
      ({ Key }) => {
        const item = partitions.get(Key?.pk?.S ?? '')?.get(Key?.sk?.S ?? '');
        return { status: 200, body: item === undefined ? {} : { Item: item } };
      },
    ],
    [
      'PutItem',
      (request) =>
        runConditional(request.Item, request, (rows, sort) => {
          rows.set(sort, request.Item ?? {});
        }),
    ],
    [
      'DeleteItem',
      (request) =>
        runConditional(request.Key, request, (rows, sort) => {
          rows.delete(sort);
        }),
    ],
    [
      'Query',
      (request) => {
        if (request.KeyConditionExpression !== 'pk = :pk')
          return renderError('ValidationException');
        const partition = request.ExpressionAttributeValues?.[':pk']?.S ?? '';
        const rows = [...openPartition(partition).entries()]
          .sort(([a], [b]) => (a < b ? -1 : 1))
          .map(([, item]) => item);
        const ordered = request.ScanIndexForward === false ? rows.reverse() : rows;
        const items = ordered.slice(0, request.Limit ?? ordered.length);
        return { status: 200, body: { Items: items, Count: items.length } };
      },
    ],
  ]);
}
