import type { BaseContext } from 'clipanion';
import type { OperatorTools } from './OperatorTools';

/** Context of every command: the standard streams and the wired tools. */
export interface OperatorContext extends BaseContext {
  readonly tools: OperatorTools;
}
