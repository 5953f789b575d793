import type { RequestStep } from './StepTracker';

/** Records metrics of forwarded requests. */
export interface ForwardingMeter {
  /**
   * Records how an attempt ended.
   *
   * @param end.path - whether the request was sent directly or through another VM
   * @param end.connection - how the connection to the server ended
   * @param end.evidence - what that says of the request
   */
  recordAttemptEnd(end: {
    readonly kind: string;
    readonly path: string;
    readonly connection: string;
    readonly evidence: string;
  }): void;
  /** Records a request that its caller left, or that ended after its deadline, and its step. */
  recordUnusualEnd(end: 'late' | 'left', step: RequestStep): void;
  recordRequest(kind: string, outcome: string, durationMs: number): void;
  /**
   * Records a call's server in a service whose servers differ in speed.
   *
   * @param slowness - how long a call takes on it now, relative to the service
   * @param loadAgeMs - time since it reported its load; infinite if it never did
   */
  recordServerPace(service: string, slowness: number, loadAgeMs: number): void;
  /** Records a request that was not sent because it, or a part of its prompt, crashed servers. */
  recordCrashRefusal(cause: 'request' | 'part'): void;
  /** Records a stream that resumed at another server after a pause of `pauseMs`. */
  recordResume(pauseMs: number, source: 'copy' | 'prompt'): void;
}
