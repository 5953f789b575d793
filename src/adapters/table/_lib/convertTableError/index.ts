import { z } from 'zod';
import type { StoreError } from '../../../../application/ports';
import { DEFAULT_RETRY_AFTER_MS } from '../../../platform-http';
import { convertFromWireItem, WireItem } from '../convertItem';

/** The error's type stands in `__type`, its name after the last `#`. */
const ErrorBody = z
  .object({ __type: z.string(), Item: WireItem.optional() })
  .transform((body) => ({ name: body.__type.split('#').at(-1) ?? '', item: body.Item }));

type ErrorBody = z.infer<typeof ErrorBody>;

const convertToUnavailable = ({ name }: ErrorBody): StoreError => ({
  kind: 'unavailable',
  reason: name,
  retryAfterMs: DEFAULT_RETRY_AFTER_MS,
});

/** Errors that DynamoDB documents as having had no effect. */
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
 * Converts an answer other than 200. A status of 500 and above does not tell whether a write took
 * effect, but for 503 (refused before it began).
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
