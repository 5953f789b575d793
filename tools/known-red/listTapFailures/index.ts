const NOT_OK = /^not ok \d+ - (?<name>.+)$/gmu;
const PLAN = /^1\.\.\d+$/mu;

/**
 * Lists the names of failed tests in a report of the Test Anything Protocol.
 *
 * @returns the names, or null for a report without its plan: the run was interrupted, so that tests
 *   without a failure may not have run
 */
export function listTapFailures(report: string): readonly string[] | null {
  if (!PLAN.test(report)) return null;
  return [...report.matchAll(NOT_OK)].map((match) => match.groups?.name ?? '');
}
