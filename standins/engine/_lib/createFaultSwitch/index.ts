import { AttemptState, FaultKind, type PlannedFault, type TokenStream } from '../../types';
import type { CoreHooks, EngineCore } from '../createEngineCore';

/** Injects faults at once, or when a stream reaches a point. */
export interface FaultSwitch extends CoreHooks {
  applyFault(fault: FaultKind): void;
  addPlannedFault(planned: PlannedFault): void;
  /** Resolves at once unless the whole process is frozen. */
  waitUntilThawed(): Promise<void>;
  dropAnswers(count: number): void;
  /** Returns true if the answer to the current request must be dropped. */
  takeDroppedAnswer(): boolean;
}

/** Parts of the engine that faults act on. */
export interface FaultTargets {
  readonly readCore: () => EngineCore;
  readonly destroyConnections: () => void;
  readonly kill: () => void;
}

function isReached(planned: PlannedFault, stream: TokenStream): boolean {
  if (!stream.start.streamId.startsWith(planned.streamId)) return false;
  if (planned.at === 'prefill') return stream.readState() === AttemptState.Prefill;
  return stream.ids.length > 0 && stream.countTokens() === planned.at;
}

/** Creates the switch. */
export function createFaultSwitch(targets: FaultTargets): FaultSwitch {
  let plan: readonly PlannedFault[] = [];
  let droppedAnswers = 0;
  let cutsNextEvent = false;
  let thawed: Promise<void> | null = null;
  let resolveThawed: () => void = () => undefined;

  const handlers: Readonly<Record<FaultKind, () => void>> = {
    freeze: () => {
      targets.readCore().scheduler.pause();
      // Requests held by an earlier freeze must be released by the same unfreeze.
      thawed ??= new Promise((resolve) => {
        resolveThawed = resolve;
      });
    },
    unfreeze: () => {
      resolveThawed();
      thawed = null;
      targets.readCore().scheduler.resume();
    },
    'freeze-streams': () => targets.readCore().scheduler.pause(),
    cut: targets.destroyConnections,
    'cut-mid-event': () => {
      cutsNextEvent = true;
    },
    kill: targets.kill,
    leave: () => targets.readCore().updateLeaving(true),
  };
  /** Removes and returns the planned faults that the stream reached; only cuts precede sending. */
  const takeReached = (stream: TokenStream, beforeSending: boolean): readonly PlannedFault[] => {
    const reached = plan.filter(
      (planned) =>
        (planned.fault === FaultKind.CutMidEvent) === beforeSending && isReached(planned, stream),
    );
    if (reached.length > 0) plan = plan.filter((planned) => !reached.includes(planned));
    return reached;
  };

  return {
    applyFault: (fault) => handlers[fault](),
    addPlannedFault: (planned) => {
      plan = [...plan, planned];
    },
    handlePoint: (stream) => {
      const cuts = takeReached(stream, true).length > 0 || cutsNextEvent;
      if (stream.ids.length > 0) cutsNextEvent = false;
      return cuts;
    },
    handleSent: (stream) => {
      takeReached(stream, false).forEach(({ fault }) => handlers[fault]());
    },
    waitUntilThawed: async () => {
      await thawed;
    },
    dropAnswers: (count) => {
      droppedAnswers = count;
    },
    takeDroppedAnswer: () => {
      const isDropped = droppedAnswers > 0;
      droppedAnswers = Math.max(0, droppedAnswers - 1);
      return isDropped;
    },
  };
}
