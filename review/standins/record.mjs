// Record of what was sent, answered and run; written to `record.txt` beside the script.
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Creates the record of a case. */
export const createRecord = (folder) => {
  const startedAtMs = performance.now();
  const entries = [];
  return {
    add: (kind, fields) =>
      entries.push({ atMs: Math.round(performance.now() - startedAtMs), kind, ...fields }),
    list: (kind) => entries.filter((entry) => entry.kind === kind),
    write: (summary) =>
      writeFileSync(
        join(folder, 'record.txt'),
        [...entries, ...summary].map((one) => `${JSON.stringify(one)}\n`).join(''),
      ),
  };
};

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. All
 * parts that were added to `parts` are stopped.
 */
export const runCase = async (folder, play) => {
  const record = createRecord(folder);
  const temporary = mkdtempSync(join(tmpdir(), 'jackdaw-review-'));
  const parts = [];
  const hasTrouble = process.env.TROUBLE !== '0';
  let exitCode = 2;
  let summary = [];
  // A failure outside of the awaited calls ends the case too: no process may be left.
  const failed = new Promise((_resolve, reject) => {
    process.on('uncaughtException', reject);
    process.on('unhandledRejection', reject);
  });
  try {
    const result = await Promise.race([play({ record, temporary, parts, hasTrouble }), failed]);
    summary = [{ kind: 'result', hasTrouble, ...result }];
    exitCode = result.couldNotRun ? 2 : result.isBroken ? 1 : 0;
  } catch (error) {
    summary = [{ kind: 'result', couldNotRun: String(error?.stack ?? error) }];
  }
  await Promise.allSettled(parts.reverse().map((part) => part.stop()));
  record.write(summary);
  rmSync(temporary, { recursive: true, force: true });
  process.stdout.write(`${JSON.stringify(summary.at(-1))}\n`);
  process.exit(exitCode);
};
