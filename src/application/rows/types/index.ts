export type { RowFollower, RowFollowerDependencies } from './RowFollower';
export type { RowsOrigin } from './RowsOrigin';
export type {
  HeldTable,
  StatementsResponse,
  StatementsRequest,
  TableStatement,
} from './Statements';
