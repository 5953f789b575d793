/** Records metrics of forwarded requests. */
export interface ForwardingMeter {
  recordRequest(kind: string, outcome: string, durationMs: number): void;
  /** Records a stream that resumed at another server after a pause of `pauseMs`. */
  recordResume(pauseMs: number, source: 'copy' | 'prompt'): void;
}
