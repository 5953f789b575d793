import { createEventNotifier } from '../createEventNotifier';
import { createExpectationHandlers } from '../createExpectationHandlers';
import { createStepHandlers } from '../createStepHandlers';
import { readDecisions } from '../readDecisions';
import { createDeployment } from '../createDeployment';
import { waitForCondition } from '../_lib/waitForCondition';
import type {
  Deployment,
  Expectation,
  RunContext,
  ScenarioFile,
  Step,
  ScenarioResult,
} from '../types';

const LOG_LINES_SHOWN = 40;

const runSteps = async (context: RunContext): Promise<void> => {
  const handlers = createStepHandlers();
  for (const step of context.scenario.step) {
    await waitForCondition(context, step.when);
    if (context.isStopped()) return;
    const run = handlers[step.do] as (step: Step, context: RunContext) => Promise<void> | void;
    await run(step, context);
  }
  await Promise.all(context.running);
};

const checkExpectations = async (context: RunContext): Promise<readonly string[]> => {
  const handlers = createExpectationHandlers();
  const faults: string[] = [];
  for (const expectation of context.scenario.expect) {
    const check = handlers[expectation.that] as (
      expectation: Expectation,
      context: RunContext,
    ) => Promise<readonly string[]> | readonly string[];
    faults.push(...(await check(expectation, context)));
  }
  return faults;
};

const renderLogs = (deployment: Deployment): string =>
  deployment.started
    .flatMap((child) => [
      `--- ${child.name} (${child.readExitStatus() ?? 'running'})`,
      ...child.lines.slice(-LOG_LINES_SHOWN),
    ])
    .join('\n');

/** Starts the scenario's timeout; `expired` never resolves and rejects when the time is over. */
const startTimeout = (
  timeoutMs: number,
): { readonly expired: Promise<never>; stop: () => void } => {
  let timer: NodeJS.Timeout;
  const expired = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(new Error(`timed out after ${timeoutMs} ms`)), timeoutMs);
  });
  return { expired, stop: () => clearTimeout(timer) };
};

/** Runs one scenario with real processes, and kills all of them at the end. */
export async function runScenario({ name, scenario }: ScenarioFile): Promise<ScenarioResult> {
  const startedMs = performance.now();
  const notifier = createEventNotifier();
  const timeout = startTimeout(scenario.timeout_ms);
  const deployment = createDeployment(scenario, notifier);
  let isStopped = false;
  let step = 'start';
  const run = async (): Promise<readonly string[]> => {
    await deployment.start();
    const context: RunContext = {
      scenario,
      deployment,
      notifier,
      callers: new Map(),
      running: [],
      isStopped: () => isStopped,
      listDecisions: () => deployment.started.flatMap(readDecisions),
    };
    step = 'readiness';
    const entries = [...deployment.children.keys()].filter((child) => child.startsWith('entry-'));
    await Promise.all(entries.map((entry) => waitForCondition(context, `ready of ${entry}`)));
    step = 'steps';
    await runSteps(context);
    step = 'expectations';
    return checkExpectations(context);
  };
  let faults: readonly string[];
  try {
    faults = await Promise.race([run(), timeout.expired]);
  } catch (error) {
    faults = [`${step}: ${error instanceof Error ? error.message : String(error)}`];
  }
  isStopped = true;
  timeout.stop();
  const logs = faults.length > 0 ? renderLogs(deployment) : '';
  await deployment.stop();
  return { name, faults, tookMs: performance.now() - startedMs, logs };
}
