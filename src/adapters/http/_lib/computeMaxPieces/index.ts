/** Pieces that every body may arrive in: a short one may come byte by byte. */
const BASE_BODY_PIECES = 65_536;

/** Bytes of the largest body for which one more piece is allowed; packets are larger. */
const BYTES_PER_FURTHER_PIECE = 512;

/**
 * Computes the pieces that a body may arrive in: each takes time, however small it is.
 *
 * @param maxBytes - size of the largest body
 */
export const computeMaxPieces = (maxBytes: number): number =>
  BASE_BODY_PIECES + Math.ceil(maxBytes / BYTES_PER_FURTHER_PIECE);
