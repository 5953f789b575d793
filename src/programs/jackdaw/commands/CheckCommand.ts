import { Command, Option } from 'clipanion';
import { formatProblem, type ConfigurationProblem } from '../../../adapters/toml';
import type { Configuration } from '../../../domain/types';
import { ExitCode } from '../types';
import { JackdawCommand } from './JackdawCommand';

function renderSummary(configuration: Configuration): string {
  const { places, services, backendServers, workspaces } = configuration;
  return (
    `${configuration.deployment}: ${places.length} places, ${services.length} services, ` +
    `${backendServers.length} backend servers, ${workspaces.length} workspaces`
  );
}

/** `jackdaw check`: checks a configuration folder without calling the platform. */
export class CheckCommand extends JackdawCommand {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: 'Check a configuration folder.',
    details: `
      Reads all .toml files of the folder, merged in the order of their names, and checks them.
      Every problem is shown as \`file:line: key: reason\`. The platform is not called.
      Exit code 0: no problem; 1: at least one.
    `,
    examples: [
      ['Check a folder', 'jackdaw check examples/sello'],
      ['Check it for a script', 'jackdaw check examples/sello --json'],
    ],
  });

  folder = Option.String({ required: true });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object.' });

  override async execute(): Promise<ExitCode> {
    const read = await this.context.tools.readConfigurationFolder(this.folder);
    return read.match(
      (configuration) => this.writeSummary(configuration),
      (problems) => this.writeProblems(problems),
    );
  }

  private writeSummary(configuration: Configuration): ExitCode {
    if (this.json) {
      this.writeJson({ ok: true, problems: [] });
    } else {
      this.writeLine(`ok: ${renderSummary(configuration)}`);
    }
    return ExitCode.Ok;
  }

  private writeProblems(problems: readonly ConfigurationProblem[]): ExitCode {
    if (this.json) {
      this.writeJson({ ok: false, problems });
    } else {
      problems.forEach((problem) => this.writeNote(formatProblem(problem)));
    }
    return ExitCode.Refused;
  }
}
