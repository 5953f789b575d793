import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { renderDemoLine } from './renderDemoLine';
import { runDemo } from './runDemo';
import type { DemoOptions, DemoOutput } from './types';

const EXIT_CODE = { ok: 0, failed: 1 } as const;

/** Folder of the examples, relative to `dist` and to `tools/demo`. */
const EXAMPLE_FOLDERS = ['../examples/', '../../examples/'];

function findExamples(): string {
  const folders = EXAMPLE_FOLDERS.map((path) => fileURLToPath(new URL(path, import.meta.url)));
  return folders.find((folder) => existsSync(`${folder}dossier.txt`)) ?? 'examples/';
}

/**
 * Runs the demo as `jackdaw demo` does.
 *
 * @param write - writes text to the terminal; the last line is the verdict
 * @param options - override the defaults, a review of 160 tokens with the example configuration
 * @returns the exit code: 0 if the answer was complete and resumed, else 1
 */
export async function runDemoCommand(
  write: DemoOutput,
  options: Partial<DemoOptions> = {},
): Promise<number> {
  const examples = findExamples();
  const report = await runDemo(
    {
      configurationFolder: `${examples}sello`,
      dossierFile: `${examples}dossier.txt`,
      tokens: 160,
      killAt: 60,
      firstTokenMs: 50,
      gapMs: 20,
      ...options,
    },
    write,
  );
  write(`${renderDemoLine(report)}\n`);
  return report.ok ? EXIT_CODE.ok : EXIT_CODE.failed;
}
