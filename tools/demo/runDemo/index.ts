import { readFile } from 'node:fs/promises';
import { streamGeneration } from '../../../client';
import { formatProblem, readConfigurationFolder } from '../../../src/adapters/toml';
import type { Configuration, Service } from '../../../src/domain/types';
import { ServiceKind, WorkClass } from '../../../src/domain/types';
import { renderPrompt } from '../../../standins/chain';
import { AttemptState, type StandInEngine } from '../../../standins/engine';
import { createStreamMeter, startEmbeddedSystem, type EmbeddedSystem } from '../../embedded';
import type { DemoOptions, DemoOutput, DemoReport } from '../types';

async function readConfiguration(folder: string): Promise<Configuration> {
  const read = await readConfigurationFolder(folder);
  if (read.isOk()) return read.value;
  throw new Error(read.error.map(formatProblem).join('\n'));
}

/** Finds the first service for long generations, and the first workspace that may use it. */
function chooseServiceAndWorkspace({ services, workspaces }: Configuration) {
  const service = services.find(
    ({ kind, workClass }) => kind === ServiceKind.Model && workClass === WorkClass.Long,
  );
  const workspace = workspaces.find(({ services: allowed }) =>
    allowed.includes(service?.name ?? ''),
  );
  if (service === undefined || workspace === undefined) {
    throw new Error('the configuration has no workspace with a model service for long work');
  }
  return { service, workspace };
}

function findRunningEngine(system: EmbeddedSystem, generationId: string): StandInEngine | null {
  const isRunning = (engine: StandInEngine) =>
    engine
      .listAttempts()
      .some(
        ({ state, streamId }) =>
          state === AttemptState.Decoding && streamId.startsWith(generationId),
      );
  return [...system.backends.engines.values()].find(isRunning) ?? null;
}

const buildBody = (service: Service, dossier: string, tokens: number) => ({
  model: service.name,
  max_tokens: tokens,
  messages: [
    { role: 'system', content: 'Review seals, signatures and translations.' },
    { role: 'user', content: dossier },
  ],
});

const renderKill = (name: string, tokens: number): string =>
  `\n\n>>> ${name} is killed after token ${tokens} and loses its state\n`;

const renderResume = (name: string, resumeMs: number): string =>
  `>>> ${name} resumes after ${Math.round(resumeMs)} ms\n\n`;

/** Sends the dossier, kills the engine in mid-stream, and checks what the caller received. */
async function runReview(
  system: EmbeddedSystem,
  options: DemoOptions,
  write: DemoOutput,
): Promise<DemoReport> {
  const { service, workspace } = chooseServiceAndWorkspace(system.backends.configuration);
  const dossier = await readFile(options.dossierFile, 'utf8');
  const body = buildBody(service, dossier, options.tokens);
  const meter = createStreamMeter(`${service.model}\n${renderPrompt(body)}`, () =>
    performance.now(),
  );
  write(`workspace ${workspace.name} sends a dossier of ${dossier.length} characters\n\n`);
  let killedMs = 0;
  const batches = streamGeneration({
    baseUrls: system.entries.map(({ url }) => url),
    apiKey: `example-key-${workspace.name}`,
    body,
  });
  for await (const batch of batches) {
    const attempts = meter.listNonces().length;
    meter.recordText(batch.text);
    if (killedMs > 0 && attempts === 1 && meter.listNonces().length === 2) {
      const engine = findRunningEngine(system, batch.generationId);
      write(renderResume(engine?.name ?? 'another engine', meter.readNonceChangedMs() - killedMs));
    }
    write(batch.text);
    if (killedMs === 0 && meter.countTokens() >= options.killAt) {
      const engine = findRunningEngine(system, batch.generationId);
      write(renderKill(engine?.name ?? 'no engine', meter.countTokens()));
      engine?.applyFault('kill');
      killedMs = performance.now();
    }
  }
  write('\n\n');
  const report = meter.buildReport(options.tokens);
  const resumes = meter.listNonces().length - 1;
  return {
    ...report,
    ok: report.ok && resumes > 0,
    resumes,
    resumeMs: resumes > 0 ? meter.readNonceChangedMs() - killedMs : 0,
  };
}

/**
 * Runs the demo: starts a whole system in this process and kills an engine in mid-generation.
 *
 * @param write - writes text to the terminal
 * @throws Error if the configuration or the dossier cannot be used
 */
export async function runDemo(options: DemoOptions, write: DemoOutput): Promise<DemoReport> {
  const configuration = await readConfiguration(options.configurationFolder);
  const [place] = configuration.places;
  const system = await startEmbeddedSystem({
    configuration,
    entryZones: (place?.availabilityZones ?? []).slice(0, 2),
    engineSettings: { firstTokenMs: options.firstTokenMs, gapMs: options.gapMs },
  });
  try {
    const { engines } = system.backends;
    write(
      `${configuration.deployment}: ${system.entries.length} entries, ${engines.size} engines, ` +
        `configuration version 1 in force\n`,
    );
    return await runReview(system, options, write);
  } finally {
    await system.stop();
  }
}
