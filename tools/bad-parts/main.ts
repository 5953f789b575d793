// Plays prompt parts that crash their servers against gateway processes, beside sound streams, and
// counts the attempts that begin long after a part's fifth crash. Needs a build of the gateway:
// `npx tsx tools/bad-parts/main.ts --share 0.5 --per-s 10`. The logs stay in the folder that the last
// line names.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Cli, Command, Option } from 'clipanion';
import { playBadParts } from './playBadParts';

const readNumber = (text: string): number => Number(text);

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

  private readonly soundPerS = Option.String('--sound-per-s', '20');

  async execute(): Promise<void> {
    const folder = mkdtempSync(join(tmpdir(), 'bad-parts-'));
    const result = await playBadParts({
      folder,
      vms: readNumber(this.vms),
      servers: readNumber(this.servers),
      seconds: readNumber(this.seconds),
      parts: readNumber(this.parts),
      crashShare: readNumber(this.share),
      badPerS: readNumber(this.perS),
      soundPerS: readNumber(this.soundPerS),
      restartEveryS: readNumber(this.restartS),
      eventsBeforeCrash: readNumber(this.events),
    });
    this.context.stdout.write(`${JSON.stringify(result)}\nlogs: ${folder}\n`);
  }
}

const cli = new Cli({ binaryName: 'bad-parts' });
cli.register(PlayCommand);
await cli.runExit(process.argv.slice(2));
