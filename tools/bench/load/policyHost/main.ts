import type { PolicyName } from '../_lib/createBenchEntry';
import { findDeploymentShape } from '../_lib/findDeploymentShape';
import { listPhases } from '../_lib/listPhases';
import { runPolicy } from '../_lib/runPolicy';

/** Runs one policy and prints its metrics as one JSON line. */
const { deployment, policy, ...options } = JSON.parse(process.argv[2] ?? '{}') as {
  readonly deployment: string;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly seconds: number;
  readonly warmUpSeconds: number;
};
const shape = findDeploymentShape(deployment);
if (shape === null) throw new Error(`unknown deployment "${deployment}"`);
const metrics = await runPolicy(shape, policy, { ...options, phases: listPhases(policy) });
process.stdout.write(`${JSON.stringify(metrics)}\n`);
