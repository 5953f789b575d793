/** Codes with which routing refuses a demand. */
export const RefusalCode = {
  UnknownService: 'unknown_service',
  ServiceNotAllowed: 'service_not_allowed',
  NoAllowedPlace: 'no_allowed_place',
  NoReadyServer: 'no_ready_server',
  QueueFull: 'queue_full',
  DeadlineTooShort: 'deadline_too_short',
  RetryBudgetSpent: 'retry_budget_spent',
  CutOff: 'cut_off',
  ShuttingDown: 'shutting_down',
} as const;

/** One of the refusal codes. */
export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode];

/** Final answer of routing to a demand that it will not serve; given at once. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  /** When to come back, in milliseconds; 0 if coming back cannot help. */
  readonly retryAfterMs: number;
}
