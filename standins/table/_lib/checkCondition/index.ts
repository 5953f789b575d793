import { err, ok, type Result } from 'neverthrow';

/** An attribute value of the DynamoDB JSON protocol, limited to the types that the product uses. */
export interface AttributeValue {
  readonly S?: string;
  readonly N?: string;
}

/** An item of the DynamoDB JSON protocol. */
export type Attributes = Readonly<Record<string, AttributeValue>>;

/** Reason why a write is refused. */
export type ConditionError =
  | { readonly kind: 'condition-failed' }
  | { readonly kind: 'unsupported'; readonly expression: string };

type Condition = (current: Attributes | undefined, values: Attributes) => boolean;

/** Condition expressions that the product sends. */
const CONDITIONS: ReadonlyMap<string, Condition> = new Map<string, Condition>([
  ['', () => true],
  ['attribute_not_exists(pk)', (current) => current === undefined],
  ['rev = :rev', (current, values) => current?.rev?.N === values[':rev']?.N],
]);

/** Evaluates a condition expression against the current item. */
export function checkCondition(
  expression: string,
  current: Attributes | undefined,
  values: Attributes,
): Result<void, ConditionError> {
  const condition = CONDITIONS.get(expression);
  if (condition === undefined) return err({ kind: 'unsupported', expression });
  return condition(current, values) ? ok(undefined) : err({ kind: 'condition-failed' });
}
