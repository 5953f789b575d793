export { ExitCode } from './ExitCode';
export type { OperatorContext } from './OperatorContext';
export type { OperatorPlatform } from './OperatorPlatform';
export { OperatorSettingsSchema } from './OperatorSettings';
export type { OperatorSettings } from './OperatorSettings';
export type { OperatorTools } from './OperatorTools';
