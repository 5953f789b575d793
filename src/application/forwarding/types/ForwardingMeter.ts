/** Takes figures of forwarded requests. */
export interface ForwardingMeter {
  recordRequest(kind: string, outcome: string, durationMs: number): void;
  /** A stream went on at another server after `pauseMs`. */
  recordResume(pauseMs: number, source: 'copy' | 'prompt'): void;
}
