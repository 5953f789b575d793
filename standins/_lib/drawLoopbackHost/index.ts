import { randomInt } from 'node:crypto';

/**
 * Draws a loopback address that no other server uses.
 *
 * A port of 127.0.0.1 that a test gives up may be taken by a server of another test, which then
 * answers in its place.
 */
export const drawLoopbackHost = (): string =>
  `127.${randomInt(1, 255)}.${randomInt(0, 255)}.${randomInt(1, 255)}`;
