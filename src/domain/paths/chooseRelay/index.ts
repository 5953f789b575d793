import type { Relay } from '../types';

/** Options of the choice. */
export interface RelayChoice {
  readonly serverId: string;
  /** Returns a random number from 0 inclusive to 1 exclusive. */
  readonly drawFraction: () => number;
}

/** A VM that reaches this share of the servers it was asked about likely reaches the others too. */
const MIN_REACHED_SHARE = 0.5;

const isReaching = ({ askedIds, reachedIds }: Relay, serverId: string): boolean =>
  askedIds.has(serverId)
    ? reachedIds.has(serverId)
    : reachedIds.size > askedIds.size * MIN_REACHED_SHARE;

const drawOne = (relays: readonly Relay[], fraction: number): Relay | null =>
  relays[Math.floor(fraction * relays.length)] ?? null;

/**
 * Chooses the VM through which a request is sent to a server.
 *
 * Two are drawn and the less loaded one is chosen, so that VMs with the same information do not all
 * choose the same relay. A relay that left a request unanswered is chosen only without others.
 *
 * @returns null if no known VM reaches the server
 */
export const chooseRelay = (
  relays: readonly Relay[],
  { drawFraction, serverId }: RelayChoice,
): Relay | null => {
  const reaching = relays.filter((relay) => isReaching(relay, serverId));
  const sound = reaching.filter(({ isDoubted }) => !isDoubted);
  const candidates = sound.length > 0 ? sound : reaching;
  const first = drawOne(candidates, drawFraction());
  const second = drawOne(candidates, drawFraction());
  return first && second && second.load < first.load ? second : first;
};
