import { readAll } from '../readAll';

/** Reads a body; true if it ends as a whole one, false if it breaks off. */
export const isReadWhole = (body: AsyncIterable<Buffer>): Promise<boolean> =>
  readAll(body).then(
    () => true,
    () => false,
  );
