import type { Logger } from 'roarr';

/**
 * Creates the logger of this process: one JSON line a message, to standard output.
 *
 * roarr decides once, when it is loaded, whether it writes: without `ROARR_LOG` it drops every
 * line. The variable is therefore set, unless the operator did, before roarr is imported.
 *
 * @param program - name of the binary, in each line's context
 */
export const createRoarrLogger = async (program: string): Promise<Logger> => {
  process.env.ROARR_LOG ??= 'true';
  const { Roarr } = await import('roarr');
  return Roarr.child({ program });
};
