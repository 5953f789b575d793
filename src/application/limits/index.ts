export { createServerLimits, type LimitStatement, type ServerLimits } from './createServerLimits';
