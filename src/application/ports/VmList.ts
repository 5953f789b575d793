import type { Result } from 'neverthrow';
import type { VmRecord } from '../../domain/types';
import type { StoreError } from './StoreError';

/** The platform's list of live and leaving entry and backend VMs, which lags behind reality. */
export interface VmList {
  listVms(): Promise<Result<readonly VmRecord[], StoreError>>;
}
