import type { WorkClass } from './WorkClass';

/** Purposes of a slot, in the order in which a queue serves them. */
export const DemandPurpose = { Resume: 'resume', Start: 'start', Hedge: 'hedge' } as const;

/** One of the purposes of a slot. */
export type DemandPurpose = (typeof DemandPurpose)[keyof typeof DemandPurpose];

/** What one attempt of a request asks of the routing. */
export interface Demand {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: string;
  readonly workClass: WorkClass;
  readonly purpose: DemandPurpose;
  /** Digests of the prompt's prefixes, shortest first; empty for plain services. */
  readonly prefixes: readonly string[];
  /** Prompt tokens with those already generated; an estimate is enough. */
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Servers not to be chosen: they failed this request before. */
  readonly excludedServers: readonly string[];
  /** Monotonic time by which it must have started, in milliseconds. */
  readonly deadlineMs: number;
}
