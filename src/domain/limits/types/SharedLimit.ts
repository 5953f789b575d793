/** What one VM tells others of a server's rate limit. */
export interface SharedLimit {
  readonly server: string;
  /** Requests a second from all VMs together; null: the server names no limit any more. */
  readonly limitPerS: number | null;
  /** How long ago the server said so, in milliseconds. */
  readonly ageMs: number;
}
