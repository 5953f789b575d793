import {
  createCrashHistory,
  createRequestCrashTracker,
  type CrashProbe,
  type RequestCrashTracker,
} from '../../../src/application/crashes';
import type { AttemptEnd, SharedOutcome } from '../../../src/domain/crashes';
import { buildServerStatus, createFakeClock, QUIET_LOG } from '../../fakes';

/** Creates trackers of requests that share one history, at a VM whose servers crash as they seem to. */
export const createTrackerFixture = (
  publishOutcome: (outcome: SharedOutcome) => void = () => undefined,
) => {
  const clock = createFakeClock();
  const crashes = createCrashHistory({
    clock,
    log: QUIET_LOG,
    hasAnsweredSince: () => false,
    publishOutcome,
    handleQuarantine: () => undefined,
  });
  const probed: string[] = [];
  const crashProbe: CrashProbe = {
    // Each server whose connection ended has crashed.
    startProbe: ({ id }, runs, { isSilent }) => {
      probed.push(`${id} ${runs.length} ${isSilent ? 'silent' : 'ended'}`);
      if (isSilent) return;
      const outcome = { server: id, hasCrashed: true, isConfirmed: true };
      runs.forEach((run) => crashes.recordOutcome({ ...run, ...outcome }));
    },
    startRecheck: () => undefined,
  };
  let requests = 0;
  /** Creates the tracker of a request like no other, with a prompt of these parts. */
  const trackPrompt = (...parts: readonly string[]) => {
    requests += 1;
    clock.advance(500);
    const requestId = `r-${requests}`;
    return createRequestCrashTracker(
      { crashes, crashProbe },
      {
        requestId,
        target: `/${requestId}`,
        body: Buffer.from(requestId),
        promptParts: parts.map((id) => ({ id, tokens: 1 })),
      },
      'w',
    );
  };
  /** The same with a last part that no other request has. */
  const track = (...parts: readonly string[]) => trackPrompt(...parts, `own-${requests + 1}`);
  const end = (
    tracker: RequestCrashTracker,
    id: string,
    change: Partial<AttemptEnd> = {},
    options = { isFromStart: true },
  ) => {
    const nowMs = clock.readMonotonicMs();
    return tracker.recordEnd(
      buildServerStatus(id, 'z1').entry,
      {
        connection: 'reset',
        relay: null,
        progress: 'head',
        sentAtMs: nowMs - 60,
        beganAtMs: nowMs - 60,
        heardSinceMs: nowMs - 60,
        endedAtMs: nowMs,
        ...change,
      },
      options,
    );
  };
  const crash = (parts: readonly string[], id: string, hasBegun = false): void => {
    end(track(...parts), id, { progress: hasBegun ? 'events' : 'head' });
  };
  /** Runs a request for longer than those that crash. */
  const begin = (parts: readonly string[], id: string, ranMs = 200): void => {
    const heardSinceMs = clock.readMonotonicMs();
    const progress = { beganAtMs: heardSinceMs - ranMs, heardSinceMs };
    track(...parts).recordProgress(buildServerStatus(id, 'z1').entry, progress);
  };
  const crashThree = (...parts: readonly string[]): void =>
    ['i-1', 'i-2', 'i-3'].forEach((id) => crash(parts, id));
  return { begin, clock, crash, crashThree, crashes, end, probed, track, trackPrompt };
};
