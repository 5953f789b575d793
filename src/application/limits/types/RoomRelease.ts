/** The end of a request at a brittle server. */
export interface RoomRelease {
  readonly server: string;
  /** Id of the room request. */
  readonly id: string;
  /** True if the server rejected the request for want of room. */
  readonly isRejected: boolean;
}
