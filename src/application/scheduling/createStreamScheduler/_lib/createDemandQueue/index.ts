import {
  computeStartTag,
  removeQueuedCost,
  type FairQueueState,
} from '../../../../../domain/admission';
import {
  compareRequestClasses,
  compareWaitingDemands,
  formatRequestClass,
  type StreamDemand,
  type WaitingDemand,
} from '../../../../../domain/scheduling';
import type { SchedulingVm } from '../../../types';

/** A demand as it was last renewed. */
export interface QueuedDemand extends WaitingDemand {
  readonly demand: StreamDemand;
  readonly sender: SchedulingVm;
  /** Monotonic time of the last renewal, to which the demand's durations refer. */
  readonly renewedAtMs: number;
  /** Time of an engine that the stream takes, in milliseconds. */
  readonly cost: number;
}

/** What a demand is added with. */
export interface DemandOptions {
  readonly demand: StreamDemand;
  readonly sender: SchedulingVm;
  readonly nowMs: number;
  readonly cost: number;
  /** True if the stream can no longer begin within its goal. */
  readonly isLate: boolean;
}

/** The waiting demands in the order in which they are served. */
export interface DemandQueue {
  list(): readonly QueuedDemand[];
  find(ticket: string): QueuedDemand | null;
  /** Counts the demands that are served before one. */
  countAhead(ticket: string): number;
  add(options: DemandOptions): QueuedDemand;
  /** Takes the current state of a waiting demand; its place changes with its class. */
  renew(options: DemandOptions): void;
  /** Moves a demand behind those that can still begin within their goals. */
  recordLate(ticket: string): void;
  /** Removes a demand that was served, or that leaves unserved and is not charged. */
  remove(ticket: string, isServed: boolean): void;
}

const EMPTY_STATE: FairQueueState = { virtualTime: 0, finishTags: new Map() };

/** Tags up to the virtual time are those of idle workspaces; they are dropped beyond this number. */
const MAX_TAGS = 256;

const WEIGHT = 1;

/** Creates an empty queue, ordered by `compareWaitingDemands`. */
export const createDemandQueue = (): DemandQueue => {
  let entries: QueuedDemand[] = [];
  const entriesByTicket = new Map<string, QueuedDemand>();
  const states = new Map<string, FairQueueState>();

  const insert = (entry: QueuedDemand): void => {
    let low = 0;
    let high = entries.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (compareWaitingDemands(entries[middle] as QueuedDemand, entry) <= 0) low = middle + 1;
      else high = middle;
    }
    entries.splice(low, 0, entry);
    entriesByTicket.set(entry.demand.ticket, entry);
  };

  const detach = (entry: QueuedDemand): void => {
    entries = entries.filter((one) => one !== entry);
    entriesByTicket.delete(entry.demand.ticket);
  };

  const removeIdleTags = (state: FairQueueState): FairQueueState =>
    state.finishTags.size <= MAX_TAGS
      ? state
      : {
          ...state,
          finishTags: new Map([...state.finishTags].filter(([, tag]) => tag > state.virtualTime)),
        };

  const add = (
    { cost, demand, isLate, nowMs, sender }: DemandOptions,
    arrivedAtMs: number,
  ): QueuedDemand => {
    const { isResumed, isReturning, requestClass, workspace } = demand;
    const key = formatRequestClass(requestClass);
    const state = removeIdleTags(states.get(key) ?? EMPTY_STATE);
    const tagged = computeStartTag(state, workspace, WEIGHT, cost);
    states.set(key, tagged.state);
    const entry: QueuedDemand = {
      requestClass,
      isResumed,
      isReturning,
      isLate,
      startTag: tagged.startTag,
      arrivedAtMs,
      demand,
      sender,
      renewedAtMs: nowMs,
      cost,
    };
    insert(entry);
    return entry;
  };

  const remove = (ticket: string, isServed: boolean): void => {
    const entry = entriesByTicket.get(ticket);
    if (!entry) return;
    detach(entry);
    const { workspace } = entry.demand;
    const key = formatRequestClass(entry.requestClass);
    const state = states.get(key) ?? EMPTY_STATE;
    states.set(
      key,
      isServed
        ? { ...state, virtualTime: Math.max(state.virtualTime, entry.startTag) }
        : removeQueuedCost(state, workspace, WEIGHT, entry.cost),
    );
  };

  return {
    list: () => entries,
    find: (ticket) => entriesByTicket.get(ticket) ?? null,
    countAhead: (ticket) => {
      const entry = entriesByTicket.get(ticket);
      return entry ? entries.indexOf(entry) : entries.length;
    },
    add: (options) => add(options, options.nowMs - options.demand.waitedMs),
    renew: (options) => {
      const { demand, nowMs, sender } = options;
      const entry = entriesByTicket.get(demand.ticket);
      if (!entry) return;
      if (compareRequestClasses(entry.requestClass, demand.requestClass) !== 0) {
        remove(demand.ticket, false);
        add(options, entry.arrivedAtMs);
        return;
      }
      const renewed = { ...entry, demand, sender, renewedAtMs: nowMs };
      entries[entries.indexOf(entry)] = renewed;
      entriesByTicket.set(demand.ticket, renewed);
    },
    recordLate: (ticket) => {
      const entry = entriesByTicket.get(ticket);
      if (!entry || entry.isLate) return;
      detach(entry);
      insert({ ...entry, isLate: true });
    },
    remove,
  };
};
