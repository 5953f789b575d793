// Plays prompt parts that crash their servers against gateway processes, beside sound streams, and
// counts the attempts that begin long after a part's fifth crash. Needs a build of the gateway:
// `npx tsx tools/bad-parts/main.ts --share 0.5 --per-s 10`. The logs stay in the folder that the last
// line names.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Cli, Command, Option } from 'clipanion';
import { parseNumberFlag } from '../../standins/_lib/parseNumberFlag';
import { playBadParts } from './playBadParts';

class PlayCommand extends Command {
  static override paths = [Command.Default];

  private readonly vms = Option.String('--vms', '6');

  private readonly servers = Option.String('--servers', '16');

  private readonly seconds = Option.String('--seconds', '30');

  private readonly parts = Option.String('--parts', '1');

  private readonly share = Option.String('--share', '1');

  private readonly perS = Option.String('--per-s', '3');

  private readonly events = Option.String('--events-before-crash', '0');

  private readonly restartS = Option.String('--restart-every-s', '0');

  private readonly restartShare = Option.String('--restart-share', '1');

  private readonly zoneLossS = Option.String('--zone-loss-every-s', '0');

  private readonly soundPerS = Option.String('--sound-per-s', '20');

  async execute(): Promise<void> {
    const play = {
      vms: parseNumberFlag('--vms', this.vms),
      servers: parseNumberFlag('--servers', this.servers),
      seconds: parseNumberFlag('--seconds', this.seconds),
      parts: parseNumberFlag('--parts', this.parts),
      crashShare: parseNumberFlag('--share', this.share),
      badPerS: parseNumberFlag('--per-s', this.perS),
      soundPerS: parseNumberFlag('--sound-per-s', this.soundPerS),
      restartEveryS: parseNumberFlag('--restart-every-s', this.restartS),
      restartShare: parseNumberFlag('--restart-share', this.restartShare),
      zoneLossEveryS: parseNumberFlag('--zone-loss-every-s', this.zoneLossS),
      eventsBeforeCrash: parseNumberFlag('--events-before-crash', this.events),
    };
    const folder = mkdtempSync(join(tmpdir(), 'bad-parts-'));
    const result = await playBadParts({ ...play, folder });
    this.context.stdout.write(`${JSON.stringify(result)}\nlogs: ${folder}\n`);
  }
}

const cli = new Cli({ binaryName: 'bad-parts' });
cli.register(PlayCommand);
await cli.runExit(process.argv.slice(2));
