import type { WorkClass } from './WorkClass';

/** What a slot is requested for, in the order in which a queue serves the purposes. */
export const DemandPurpose = { Resume: 'resume', Start: 'start', Hedge: 'hedge' } as const;

/** One of the purposes of a demand. */
export type DemandPurpose = (typeof DemandPurpose)[keyof typeof DemandPurpose];

/** Request of one attempt to routing for a slot on a backend server. */
export interface Demand {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: string;
  readonly workClass: WorkClass;
  readonly purpose: DemandPurpose;
  /** Digests of the prompt's prefixes, shortest first; empty for plain services. */
  readonly prefixes: readonly string[];
  /** Tokens of the prompt plus the tokens generated so far; an estimate is sufficient. */
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Servers that failed this request before and must not be chosen. */
  readonly excludedServers: readonly string[];
  /** Monotonic time by which the attempt must have started, in milliseconds. */
  readonly deadlineMs: number;
}
