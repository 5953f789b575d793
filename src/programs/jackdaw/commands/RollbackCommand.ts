import { Command, Option } from 'clipanion';
import {
  applyConfiguration,
  readNewestRow,
  readVersionRow,
} from '../../../application/configuration';
import { checkConfiguration, compareConfigurations } from '../../../domain/configuration';
import { renderChanges } from '../renderChanges';
import { ExitCode, type OperatorPlatform } from '../types';
import { WritingCommand } from './WritingCommand';

/** `jackdaw rollback`: writes the content of an old version as a new version. */
export class RollbackCommand extends WritingCommand {
  static override paths = [['rollback']];

  static override usage = Command.Usage({
    description: 'Put the content of an old version into force, as a new version.',
    details: `
      Versions never decrease: the old content is written as the next version. The changes are
      shown. If another operator applies at the same time, nothing is written (exit code 3).
      Exit code 6: there is no such version.
    `,
    examples: [['Go back to version 6', 'jackdaw rollback 6 --comment "7 broke reviews" --wait']],
  });

  version = Option.String({ required: true });

  protected override async executeOn(platform: OperatorPlatform): Promise<ExitCode> {
    const { table } = platform;
    const version = this.parseWholeNumber('VERSION', this.version, 1);
    if (version === null || this.readWaitMs() === null) {
      return ExitCode.Usage;
    }
    const newest = await readNewestRow(table);
    if (newest.isErr()) {
      return this.writeError(newest.error);
    }
    const old = await readVersionRow(table, version);
    if (old.isErr()) {
      return this.writeError(old.error);
    }
    if (old.value === null || newest.value === null) {
      this.writeNote(`there is no version ${this.version}; see "jackdaw history"`);
      return ExitCode.NotFound;
    }
    const { configuration } = old.value;
    const problems = checkConfiguration(configuration);
    if (problems.length > 0) {
      problems.forEach(({ path, reason }) => this.writeNote(`${path.join('.')}: ${reason}`));
      return ExitCode.Refused;
    }
    const changes = compareConfigurations(newest.value.configuration, configuration);
    renderChanges(changes).forEach((line) => this.writeNote(line));
    if (!(await this.hasEnoughTableReaders(platform))) {
      return ExitCode.Unreachable;
    }
    const applied = await applyConfiguration(platform, {
      configuration,
      expectedVersion: newest.value.version,
      appliedBy: platform.operator,
      comment: this.comment === '' ? `rollback to ${this.version}` : this.comment,
    });
    return applied.isOk() ? this.finish(platform, applied.value) : this.writeError(applied.error);
  }
}
