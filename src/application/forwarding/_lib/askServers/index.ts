import {
  chooseForwardServer,
  type ReportedServer,
  type ServerStatus,
} from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/** Servers asked before a prompt is sent: as many for the run as for its copy. */
const ASKED = 4;

/** Draws servers: the first ones anywhere, the others in another zone than the first. */
const drawServers = (run: StreamRun, excludedIds: ReadonlySet<string>): readonly ServerStatus[] => {
  const { availabilityZone, directory, randomness } = run.dependencies;
  const serving = directory.listServing(run.context.service);
  const drawn: ServerStatus[] = [];
  for (let count = 0; count < ASKED; count += 1) {
    const isForCopy = count >= ASKED / 2;
    const status = chooseForwardServer(serving, {
      excludedIds: new Set([...excludedIds, ...drawn.map(({ entry }) => entry.id)]),
      avoidedZone: isForCopy ? (drawn[0]?.entry.availabilityZone ?? null) : null,
      preferredZone: isForCopy ? null : availabilityZone,
      draw: randomness.readFraction(),
    });
    if (status) drawn.push(status);
  }
  return drawn;
};

/**
 * Asks some servers what they do, just before a prompt is sent to one of them: loads that are known
 * from earlier answers are old, and a server that fell silent is still listed for seconds.
 *
 * @returns those that answered
 */
export const askServers = async (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): Promise<readonly ReportedServer[]> => {
  const { client, directory } = run.dependencies;
  const drawn = drawServers(run, excludedIds);
  const answers = await Promise.all(
    drawn.map(async ({ copies, entry }) => {
      const report = await client.readReport(entry);
      if (!report) directory.recordSuspicion(entry.id, 'silent');
      return report && { entry, report, copies };
    }),
  );
  return answers.flatMap((answer) => (answer ? [answer] : []));
};
