/** A VM's request for room at a brittle server, to the owner of the server's room. */
export interface RoomRequest {
  /** Unique among all VMs. */
  readonly id: string;
  /** Name of the requesting VM. */
  readonly sender: string;
  readonly server: string;
  /** Requests that the server runs at a time. */
  readonly slots: number;
  /** Rejections per second above which the server falls over. */
  readonly maxRejectionsPerS: number;
  /** Requests that the sender has at the server. */
  readonly running: number;
  /** Time in milliseconds for which the sender waits for room. */
  readonly waitMs: number;
  /** The request has ended after this time, in milliseconds. */
  readonly leftMs: number;
}
