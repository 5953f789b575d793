/** One request of the bench, scheduled before the run. */
export interface Arrival {
  readonly id: string;
  readonly atMs: number;
  readonly workspace: string;
  readonly service: string;
  readonly isLong: boolean;
  readonly entry: number;
  readonly prompt: string;
  readonly outputTokens: number;
}
