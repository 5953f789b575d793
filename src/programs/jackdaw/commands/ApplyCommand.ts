import { Command, Option } from 'clipanion';
import { applyConfiguration, readNewestRow } from '../../../application/configuration';
import { compareConfigurations, type ConfigurationRow } from '../../../domain/configuration';
import type { Configuration } from '../../../domain/types';
import { renderChanges } from '../renderChanges';
import { ExitCode, type OperatorPlatform } from '../types';
import { WritingCommand } from './WritingCommand';

/** `jackdaw apply`: puts a configuration folder into force. */
export class ApplyCommand extends WritingCommand {
  static override paths = [['apply']];

  static override usage = Command.Usage({
    description: 'Put a configuration folder into force.',
    details: `
      Checks the folder, then writes it as the next version. \`--expect-version\` names the version
      that the folder was edited from, as \`jackdaw diff\` shows it. It is required once a version
      exists, so that no operator undoes a change without having seen it. If another operator
      applied first, nothing is written and the other changes are shown.
      Exit code 0: applied; 1: invalid configuration; 3: another version is in force; 4: the table
      does not answer; 5: applied, but VMs lag at the end of --wait.
    `,
    examples: [
      ['Apply the first version', 'jackdaw apply examples/sello --settings jackdaw.toml'],
      [
        'Apply a change and wait until it is in force',
        'jackdaw apply examples/sello --expect-version 7 --comment "new franchise" --wait',
      ],
    ],
  });

  folder = Option.String({ required: true });

  expectVersion = Option.String('--expect-version', {
    description: 'Version that the folder was edited from.',
  });

  protected override async executeOn(platform: OperatorPlatform): Promise<ExitCode> {
    const expected =
      this.expectVersion === undefined
        ? null
        : this.parseWholeNumber('--expect-version', this.expectVersion, 0);
    const isBad = this.expectVersion !== undefined && expected === null;
    if (isBad || this.readWaitMs() === null) {
      return ExitCode.Usage;
    }
    const read = await this.context.tools.readConfigurationFolder(this.folder);
    if (read.isErr()) {
      return this.writeProblems(read.error);
    }
    const newest = await readNewestRow(platform.table);
    if (newest.isErr()) {
      return this.writeError(newest.error);
    }
    return this.applyOver(platform, read.value, newest.value, expected);
  }

  private async applyOver(
    platform: OperatorPlatform,
    configuration: Configuration,
    newest: ConfigurationRow | null,
    expected: number | null,
  ): Promise<ExitCode> {
    const changes = compareConfigurations(newest?.configuration ?? null, configuration);
    if (newest !== null && changes.length === 0) {
      this.writeNote(`version ${newest.version} already has this configuration`);
      return this.finish(platform, newest);
    }
    if (newest !== null && expected === null) {
      renderChanges(changes).forEach((line) => this.writeNote(line));
      this.writeNote(
        `version ${newest.version} is in force (by ${newest.appliedBy}); nothing was written. ` +
          `If the changes above are intended, apply with --expect-version ${newest.version}`,
      );
      return ExitCode.Conflict;
    }
    // Without an earlier version, no VM can keep an old configuration.
    if (newest !== null && !(await this.hasEnoughTableReaders(platform))) {
      return ExitCode.Unreachable;
    }
    const applied = await applyConfiguration(platform, {
      configuration,
      expectedVersion: expected ?? 0,
      appliedBy: platform.operator,
      comment: this.comment,
    });
    return applied.isOk() ? this.finish(platform, applied.value) : this.writeError(applied.error);
  }
}
