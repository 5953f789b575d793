import { Cli, Command, Option, UsageError } from 'clipanion';
import type { LoadedModel } from '../../src/domain/types';
import { parseNumberFlag } from '../_lib/parseNumberFlag';
import { createStandInEngine } from './createStandInEngine';
import { DEFAULT_ENGINE_SETTINGS } from './types';

const EXIT_CODE_KILLED = 137;

/** Parses `model@version` or `model@version+adapter`, separated by commas. */
function parseModels(text: string): readonly LoadedModel[] {
  return text.split(',').map((item) => {
    const [, model, version, adapter = ''] = /^([^@+]+)@([^@+]+)(?:\+(.+))?$/.exec(item) ?? [];
    if (model === undefined || version === undefined) {
      throw new UsageError(`--models: "${item}" is not MODEL@VERSION or MODEL@VERSION+ADAPTER`);
    }
    return { model, version, adapter };
  });
}

const defaultOf = (key: keyof typeof DEFAULT_ENGINE_SETTINGS) =>
  String(DEFAULT_ENGINE_SETTINGS[key]);

/** Runs one stand-in engine until the process is ended. */
class EngineCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Serves the engine protocol on 127.0.0.1 and prints its port as a JSON line.',
    examples: [['An engine with two slots', '$0 --name engine-1 --slots 2']],
  });

  name = Option.String('--name', 'engine');

  port = Option.String('--port', '0');

  slots = Option.String('--slots', defaultOf('slots'));

  queueLimit = Option.String('--queue-limit', defaultOf('queueLimit'));

  firstTokenMs = Option.String('--first-token-ms', defaultOf('firstTokenMs'));

  gapMs = Option.String('--gap-ms', defaultOf('gapMs'));

  keepMs = Option.String('--keep-ms', defaultOf('keepMs'));

  loadLagMs = Option.String('--load-lag-ms', defaultOf('loadLagMs'));

  cacheLagMs = Option.String('--cache-lag-ms', defaultOf('cacheLagMs'));

  cacheGapEvery = Option.String('--cache-gap-every', defaultOf('cacheGapEvery'));

  cacheEntries = Option.String('--cache-entries', defaultOf('cacheEntries'));

  slowdown = Option.String('--slowdown', defaultOf('slowdown'));

  checksFencing = Option.Boolean('--checks-fencing', true);

  models = Option.String('--models', 'review@1');

  role = Option.String('--role', defaultOf('role'));

  weightStoreUrl = Option.String('--weight-store-url', '');

  async execute(): Promise<void> {
    const engine = await createStandInEngine({
      name: this.name,
      port: parseNumberFlag('--port', this.port),
      slots: parseNumberFlag('--slots', this.slots),
      queueLimit: parseNumberFlag('--queue-limit', this.queueLimit),
      firstTokenMs: parseNumberFlag('--first-token-ms', this.firstTokenMs),
      gapMs: parseNumberFlag('--gap-ms', this.gapMs),
      keepMs: parseNumberFlag('--keep-ms', this.keepMs),
      loadLagMs: parseNumberFlag('--load-lag-ms', this.loadLagMs),
      cacheLagMs: parseNumberFlag('--cache-lag-ms', this.cacheLagMs),
      cacheGapEvery: parseNumberFlag('--cache-gap-every', this.cacheGapEvery),
      cacheEntries: parseNumberFlag('--cache-entries', this.cacheEntries),
      slowdown: parseNumberFlag('--slowdown', this.slowdown),
      checksFencing: this.checksFencing,
      models: parseModels(this.models),
      role: this.role,
      weightStoreUrl: this.weightStoreUrl,
      handleKill: () => process.exit(EXIT_CODE_KILLED),
    });
    this.context.stdout.write(`${JSON.stringify({ event: 'listening', port: engine.port })}\n`);
  }
}

await Cli.from(EngineCommand, { binaryName: 'standin-engine' }).runExit(process.argv.slice(2));
