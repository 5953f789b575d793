import { Option } from 'clipanion';
import { formatProblem, type ConfigurationProblem } from '../../../adapters/toml';
import type { ApplyError } from '../../../application/configuration';
import { renderError } from '../renderError';
import { ExitCode, type OperatorPlatform } from '../types';
import { JackdawCommand } from './JackdawCommand';

/** Base class of the commands that call the platform or the processes. */
export abstract class PlatformCommand extends JackdawCommand {
  settings = Option.String('--settings', '', {
    description: 'TOML file with the connection settings (default: $JACKDAW_SETTINGS).',
  });

  override async execute(): Promise<ExitCode> {
    const opened = await this.context.tools.openPlatform(this.settings);
    if (opened.isErr()) {
      return this.writeProblems(opened.error);
    }
    try {
      return await this.executeOn(opened.value);
    } finally {
      await opened.value.close();
    }
  }

  /** Runs the command; the caller closes the platform afterwards. */
  protected abstract executeOn(platform: OperatorPlatform): Promise<ExitCode>;

  /** Writes the problems of the settings or of a configuration folder. */
  protected writeProblems(problems: readonly ConfigurationProblem[]): ExitCode {
    problems.forEach((problem) => this.writeNote(formatProblem(problem)));
    return ExitCode.Refused;
  }

  /** Writes the error of a failed read or write of the configuration. */
  protected writeError(error: ApplyError): ExitCode {
    const { lines, exitCode } = renderError(error);
    lines.forEach((line) => this.writeNote(line));
    return exitCode;
  }
}
