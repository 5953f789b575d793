import type { BaseContext } from 'clipanion';
import type { OperatorTools } from './OperatorTools';

/** What every command gets: the terminal's streams and the wired tools. */
export interface OperatorContext extends BaseContext {
  readonly tools: OperatorTools;
}
