import {
  create,
  fromBinary,
  toBinary,
  type DescMessage,
  type DescMethodUnary,
  type MessageInitShape,
  type MessageShape,
} from '@bufbuild/protobuf';
import { Pool } from 'undici';
import { buildMethodPath, MESSAGE_TYPE } from '../buildMethodPath';

/** Calls unary methods of other processes. */
export interface UnaryCaller {
  /** Null if the process does not answer in time, or with a failure. */
  call<Input extends DescMessage, Output extends DescMessage>(
    address: string,
    method: DescMethodUnary<Input, Output>,
    request: MessageInitShape<Input>,
    timeoutMs: number,
  ): Promise<MessageShape<Output> | null>;
  /** Closes every connection. */
  close(): void;
}

const OK_STATUS = 200;

/** Processes are asked by the second; a connection that is idle for longer is closed. */
const IDLE_CONNECTION_TIMEOUT_MS = 30_000;

const CONNECT_TIMEOUT_MS = 1000;

/**
 * Creates a caller of unary methods: the Connect protocol over HTTP/1.1.
 *
 * Each call has a connection to itself, so that one that is given up ends no other.
 */
export const createUnaryCaller = (): UnaryCaller => {
  const pools = new Map<string, Pool>();

  const getPool = (address: string): Pool => {
    const existingPool = pools.get(address);
    if (existingPool) return existingPool;
    const pool = new Pool(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_TIMEOUT_MS,
    });
    pools.set(address, pool);
    return pool;
  };

  /** Lets running calls end; the next one opens a connection of its own. */
  const dropPool = (address: string, pool: Pool): void => {
    if (pools.get(address) === pool) pools.delete(address);
    pool.close().catch(() => undefined);
  };

  return {
    call: async (address, method, request, timeoutMs) => {
      const abort = new AbortController();
      const timer = setTimeout(() => abort.abort(), timeoutMs);
      let pool: Pool | null = null;
      try {
        // An address that another process told may be none.
        pool = getPool(address);
        const answer = await pool.request({
          path: buildMethodPath(method),
          method: 'POST',
          headers: { 'content-type': MESSAGE_TYPE },
          body: toBinary(method.input, create(method.input, request)),
          signal: abort.signal,
        });
        const bytes = await answer.body.bytes();
        return answer.statusCode === OK_STATUS ? fromBinary(method.output, bytes) : null;
      } catch {
        // Connections that were idle may have fallen silent together. The caller takes null for what
        // it is, a process that was not heard.
        if (pool) dropPool(address, pool);
        return null;
      } finally {
        clearTimeout(timer);
      }
    },
    close: () => {
      pools.forEach((pool) => {
        pool.destroy().catch(() => undefined);
      });
      pools.clear();
    },
  };
};
