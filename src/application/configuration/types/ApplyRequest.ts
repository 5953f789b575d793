import type { Configuration } from '../../../domain/types';

/** A whole configuration to put into force. */
export interface ApplyRequest {
  readonly configuration: Configuration;
  /** Version that the operator has seen and means to replace; 0: none yet. */
  readonly expectedVersion: number;
  readonly appliedBy: string;
  readonly comment: string;
}
