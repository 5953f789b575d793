import type { ConfigurationProblem } from '../types';

/** Formats a problem as a single line: `file:line: key: reason`. */
export function formatProblem(problem: ConfigurationProblem): string {
  const place = problem.line > 0 ? `${problem.file}:${problem.line}` : problem.file;
  return [place, problem.key, problem.reason].filter((part) => part !== '').join(': ');
}
