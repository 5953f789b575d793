/** What becomes of a demand. */
export type ScheduleDecision =
  | {
      readonly kind: 'send';
      readonly ticket: string;
      /** Id of the server that runs the stream. */
      readonly server: string;
      /** Id of the server that holds the copy; null for none. */
      readonly backup: string | null;
      /** Predicted time to the first event, in milliseconds. */
      readonly predictedMs: number;
      /** True if the server has no other prompt to prefill first. */
      readonly isFree: boolean;
    }
  | {
      readonly kind: 'wait';
      readonly ticket: string;
      /** Predicted time until the stream can be sent, in milliseconds. */
      readonly predictedMs: number;
    }
  | {
      readonly kind: 'refuse';
      readonly ticket: string;
      readonly reason: string;
      /** Time after which the caller should retry, in milliseconds; 0: no retry. */
      readonly returnMs: number;
    };
