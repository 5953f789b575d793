export type { PermitDecision } from './PermitDecision';
export type { SharedLimit } from './SharedLimit';
