import type { Result } from 'neverthrow';
import type { News } from '../../../domain/membership';
import type { PeerError } from './PeerError';

/** Calls that one process makes to another. Addresses are `ip:port`; times in milliseconds. */
export interface PeerCalls {
  /** Gives news and takes the peer's. */
  sendNews(
    peerAddress: string,
    news: News,
    options: { readonly timeoutMs: number },
  ): Promise<Result<News, PeerError>>;
}
