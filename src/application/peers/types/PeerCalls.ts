import type { Result } from 'neverthrow';
import type { News } from '../../../domain/membership';
import type { PeerError } from './PeerError';

/** Calls between processes. Addresses are `ip:port`, times are in milliseconds. */
export interface PeerCalls {
  /** Sends news and returns the peer's news. */
  sendNews(
    peerAddress: string,
    news: News,
    options: { readonly timeoutMs: number },
  ): Promise<Result<News, PeerError>>;
}
