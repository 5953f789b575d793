import type { Result } from 'neverthrow';
import type { VmRecord } from '../../domain/types';
import type { StoreError } from './StoreError';

/** The platform's list of live and leaving VMs, late by nature; covers entry VMs and backend VMs. */
export interface VmList {
  listVms(): Promise<Result<readonly VmRecord[], StoreError>>;
}
