import type { ReportedServer, ServerStatus } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/**
 * Asks some servers what they do, just before a prompt is sent to one of them: loads that are known
 * from earlier answers are old, and a server that fell silent is still listed for seconds.
 *
 * @returns those that answered
 */
export const askServers = async (
  run: StreamRun,
  candidates: readonly ServerStatus[],
): Promise<readonly ReportedServer[]> => {
  const { client, directory } = run.dependencies;
  const answers = await Promise.all(
    candidates.map(async ({ copies, entry }) => {
      const report = await client.readReport(entry);
      if (!report) directory.recordSuspicion(entry.id, 'silent');
      return report && { entry, report, copies };
    }),
  );
  return answers.flatMap((answer) => (answer ? [answer] : []));
};
