import { z } from 'zod';
import type { StoreError } from '../../../../application/ports';
import { DEFAULT_RETRY_AFTER_MS } from '../../../platform-http';
import { convertFromWireItem, WireItem } from '../convertItem';

/** Body of a DynamoDB error; the error's name follows the last `#` of `__type`. */
const ErrorBody = z
  .object({ __type: z.string(), Item: WireItem.optional() })
  .transform((body) => ({ name: body.__type.split('#').at(-1) ?? '', item: body.Item }));

type ErrorBody = z.infer<typeof ErrorBody>;

const convertToUnavailable = ({ name }: ErrorBody): StoreError => ({
  kind: 'unavailable',
  reason: name,
  retryAfterMs: DEFAULT_RETRY_AFTER_MS,
});

/** Converters by name, for errors that by DynamoDB's documentation had no effect. */
const CONVERTERS_BY_NAME: ReadonlyMap<string, (body: ErrorBody) => StoreError> = new Map([
  [
    'ConditionalCheckFailedException',
    ({ item }: ErrorBody): StoreError => ({
      kind: 'condition-failed',
      current: item === undefined ? null : convertFromWireItem(item),
    }),
  ],
  ['ProvisionedThroughputExceededException', convertToUnavailable],
  ['RequestLimitExceeded', convertToUnavailable],
  ['ThrottlingException', convertToUnavailable],
]);

function parseErrorBody(text: string): ErrorBody | null {
  try {
    return ErrorBody.safeParse(JSON.parse(text)).data ?? null;
  } catch {
    return null;
  }
}

/**
 * Converts an answer with a status other than 200. After a status of 500 and above a write may have
 * taken effect, except after 503, which refuses it before it begins.
 */
export function convertTableError(status: number, text: string, write: boolean): StoreError {
  const body = parseErrorBody(text);
  const name = body?.name ?? '';
  const convert = CONVERTERS_BY_NAME.get(name);
  if (body !== null && convert !== undefined) return convert(body);
  const reason = `status ${status} ${name}`.trim();
  if (status < 500) return { kind: 'invalid', reason };
  return write && status !== 503
    ? { kind: 'ambiguous', reason }
    : { kind: 'unavailable', reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS };
}
