/**
 * What a request waits for: a decision of the scheduler, a permit of a server, a retry, the turn as a
 * trial, or the response to an attempt.
 */
export type RequestStep = 'admission' | 'placement' | 'permit' | 'retry' | 'trial' | 'attempt';

/** Knows the step that a request is in, for the log. */
export interface StepTracker {
  enterStep(step: RequestStep): void;
  readStep(): RequestStep;
  /** Time since the step began, in milliseconds. */
  readStepMs(): number;
}
