import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import type { PhaseMetrics } from '../../types';
import type { PolicyName } from '../createBenchEntry';

const HOST_PATH = fileURLToPath(new URL('../../policyHost/main.ts', import.meta.url));

/** Options of the run of one policy. */
export interface PolicyHostOptions {
  readonly deployment: string;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly seconds: number;
  readonly warmUpSeconds: number;
}

/** Runs one policy in a separate process, so that two policies can run in parallel. */
export async function runPolicyHost(options: PolicyHostOptions): Promise<readonly PhaseMetrics[]> {
  const args = ['--import=tsx', HOST_PATH, JSON.stringify(options)];
  const { stdout } = await promisify(execFile)(process.execPath, args);
  return JSON.parse(stdout) as readonly PhaseMetrics[];
}
