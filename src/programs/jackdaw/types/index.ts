export { ExitCode } from './ExitCode';
export type { OperatorContext } from './OperatorContext';
export type { OperatorTools } from './OperatorTools';
