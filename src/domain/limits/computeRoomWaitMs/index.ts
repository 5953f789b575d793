/** Inputs of the wait, in milliseconds. */
export interface RoomWaitOptions {
  /** Time that the request has waited for room at other servers. */
  readonly waitedMs: number;
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  readonly latencyGoalMs: number;
}

/** Part of the latency goal for which a request waits at one server, and at all of them. */
const SERVER_GOAL_FRACTION = 0.25;
const TOTAL_GOAL_FRACTION = 0.5;

/** A stream, whose goal is seconds, takes another server earlier. */
const MAX_WAIT_MS = 150;

/** Part of the time left after which waiting would leave too little to run. */
const LEFT_FRACTION = 0.25;

/** Computes how long a request waits for room at a brittle server, in milliseconds. */
export const computeRoomWaitMs = ({ latencyGoalMs, leftMs, waitedMs }: RoomWaitOptions): number =>
  Math.max(
    0,
    Math.min(
      MAX_WAIT_MS,
      latencyGoalMs * SERVER_GOAL_FRACTION,
      latencyGoalMs * TOTAL_GOAL_FRACTION - waitedMs,
      leftMs * LEFT_FRACTION,
    ),
  );
