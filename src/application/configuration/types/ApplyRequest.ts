import type { Configuration } from '../../../domain/types';

/** Request to apply a whole configuration. */
export interface ApplyRequest {
  readonly configuration: Configuration;
  /** Version that the operator saw and intends to replace; 0 if there is none yet. */
  readonly expectedVersion: number;
  readonly appliedBy: string;
  readonly comment: string;
}
