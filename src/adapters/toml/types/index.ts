export { ProblemKind } from './ConfigurationProblem';
export type { ConfigurationProblem } from './ConfigurationProblem';
export type { KeyOrigin } from './KeyOrigin';
export type { TomlSource } from './TomlSource';
export type { TomlTable } from './TomlTable';
