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

/** Client of unary methods of other processes. */
export interface UnaryCaller {
  /** Calls a method; null if the process responds with an error or not before the timeout. */
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

/** Processes are called about once a second, so a connection idle this long is unused. */
const IDLE_CONNECTION_TIMEOUT_MS = 30_000;

const CONNECT_TIMEOUT_MS = 1000;

/**
 * Creates a client of unary methods: the Connect protocol over HTTP/1.1.
 *
 * Concurrent calls use separate connections, so that aborting one call does not end another.
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

  /** Removes a pool: its running calls may finish, and the next call opens a new connection. */
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
        // Throws for an invalid address: addresses come from other processes.
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
        // All idle connections to the address may be dead, so the whole pool is dropped. The caller
        // treats null as a process that did not respond.
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
