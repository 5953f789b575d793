/** Reasons for which routing refuses a demand, as error codes. */
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
  /** The request was sent to as many servers as it may be. */
  AttemptsUsed: 'attempts_used',
} as const;

/** One of the refusal codes. */
export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode];

/** Final answer to a demand that routing does not serve. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  /** Delay before the caller may retry, in milliseconds; 0 if a retry cannot succeed. */
  readonly retryAfterMs: number;
}
