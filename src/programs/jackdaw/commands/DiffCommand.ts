import { Command, Option } from 'clipanion';
import { readNewestRow } from '../../../application/configuration';
import { compareConfigurations } from '../../../domain/configuration';
import { renderChanges } from '../renderChanges';
import { ExitCode, type OperatorPlatform } from '../types';
import { PlatformCommand } from './PlatformCommand';

/** `jackdaw diff`: shows what applying a folder would change. */
export class DiffCommand extends PlatformCommand {
  static override paths = [['diff']];

  static override usage = Command.Usage({
    description: 'Show what applying a folder would change.',
    details: `
      Compares the folder with the configuration in force. Lines begin with + (added), - (removed)
      or ~ (changed). The last line names the version to expect when applying.
    `,
    examples: [['Compare a folder', 'jackdaw diff examples/sello --settings jackdaw.toml']],
  });

  folder = Option.String({ required: true });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object.' });

  protected override async executeOn({ table }: OperatorPlatform): Promise<ExitCode> {
    const read = await this.context.tools.readConfigurationFolder(this.folder);
    if (read.isErr()) {
      return this.writeProblems(read.error);
    }
    const newest = await readNewestRow(table);
    if (newest.isErr()) {
      return this.writeError(newest.error);
    }
    const version = newest.value?.version ?? 0;
    const changes = compareConfigurations(newest.value?.configuration ?? null, read.value);
    if (this.json) {
      this.writeJson({ version, changes });
      return ExitCode.Ok;
    }
    renderChanges(changes).forEach((line) => this.writeLine(line));
    this.writeLine(`${changes.length} changes to version ${version}; --expect-version ${version}`);
    return ExitCode.Ok;
  }
}
