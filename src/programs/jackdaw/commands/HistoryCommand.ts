import { Command, Option } from 'clipanion';
import { listConfigurationRows } from '../../../application/configuration';
import type { ConfigurationRow } from '../../../domain/configuration';
import { ExitCode, type OperatorPlatform } from '../types';
import { PlatformCommand } from './PlatformCommand';

function renderRow(row: ConfigurationRow): string {
  const time = new Date(row.appliedAtMs).toISOString();
  const comment = row.comment === '' ? '' : `  ${row.comment}`;
  return `${row.version}  ${time}  ${row.appliedBy}  ${row.applyId}${comment}`;
}

/** `jackdaw history`: lists accepted versions. */
export class HistoryCommand extends PlatformCommand {
  static override paths = [['history']];

  static override usage = Command.Usage({
    description: 'List the accepted versions, newest first.',
    details: 'Shows version, time, operator, apply id and comment.',
    examples: [
      ['The newest versions', 'jackdaw history --settings jackdaw.toml'],
      ['The newest 100 for a script', 'jackdaw history --limit 100 --json'],
    ],
  });

  limit = Option.String('--limit', '20', { description: 'Maximum number of versions to list.' });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object per line.' });

  protected override async executeOn({ table }: OperatorPlatform): Promise<ExitCode> {
    const limit = this.parseWholeNumber('--limit', this.limit, 1);
    if (limit === null) {
      return ExitCode.Usage;
    }
    const listed = await listConfigurationRows(table, limit);
    if (listed.isErr()) {
      return this.writeError(listed.error);
    }
    listed.value.forEach((row) => {
      if (this.json) {
        this.writeJson({ ...row, configuration: undefined });
      } else {
        this.writeLine(renderRow(row));
      }
    });
    return ExitCode.Ok;
  }
}
