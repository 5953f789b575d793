import type { Logger } from 'roarr';

/**
 * Creates the logger of this process, which writes one JSON line per message to standard output.
 *
 * Roarr reads `ROARR_LOG` once, when it is loaded, and drops every line if the variable is not set.
 * The variable is therefore set, unless the operator has set it, before Roarr is imported.
 *
 * @param program - name of the program in the context of each line
 */
export const createRoarrLogger = async (program: string): Promise<Logger> => {
  process.env.ROARR_LOG ??= 'true';
  const { Roarr } = await import('roarr');
  return Roarr.child({ program });
};
