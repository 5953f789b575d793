import type { WriteCondition } from '../../../../application/ports';

/** Fields of a DynamoDB request that express a condition. */
export interface ConditionFields {
  readonly ConditionExpression?: string;
  readonly ExpressionAttributeValues?: Readonly<Record<string, { readonly N: string }>>;
  readonly ReturnValuesOnConditionCheckFailure?: 'ALL_OLD';
}

type Converters = {
  readonly [K in WriteCondition['kind']]: (
    condition: Extract<WriteCondition, { kind: K }>,
  ) => ConditionFields;
};

const CONVERTERS: Converters = {
  any: () => ({}),
  absent: () => ({
    ConditionExpression: 'attribute_not_exists(pk)',
    ReturnValuesOnConditionCheckFailure: 'ALL_OLD',
  }),
  revision: ({ revision }) => ({
    ConditionExpression: 'rev = :rev',
    ExpressionAttributeValues: { ':rev': { N: String(revision) } },
    ReturnValuesOnConditionCheckFailure: 'ALL_OLD',
  }),
};

/** Converts a condition to fields of a request; if it fails, DynamoDB returns the current item. */
export function convertCondition(condition: WriteCondition): ConditionFields {
  const convert = CONVERTERS[condition.kind] as (given: WriteCondition) => ConditionFields;
  return convert(condition);
}
