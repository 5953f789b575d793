/** Prefix of the path of a request that another VM forwards to a server. */
export const RELAY_PREFIX = '/relay';

/** Headers between a VM and the one that forwards its requests to servers. */
export const RELAY_HEADERS = {
  /** Id of the server. */
  server: 'jackdaw-relay-server',
  /** Number of a request to the relay, which the relay repeats in its reply. */
  exchange: 'jackdaw-relay-exchange',
  /** `new` if the request must not use an idle connection to the server. */
  connection: 'jackdaw-relay-connection',
  /** `none` if the server's response has neither a length nor chunks. */
  framing: 'jackdaw-relay-framing',
  /**
   * How the connection to the server ended (`ConnectionEnd`): in place of the server's response, or
   * as a trailer after a response that the server broke off.
   */
  end: 'jackdaw-relay-end',
  /** Why no response of the server came. */
  reason: 'jackdaw-relay-reason',
} as const;

/** Value of the framing header. */
export const RELAY_UNFRAMED = 'none';
