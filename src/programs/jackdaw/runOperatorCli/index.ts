import { Builtins, Cli, type BaseContext } from 'clipanion';
import packageFile from '../../../../package.json';
import { COMMANDS } from '../commands';
import { ExitCode, type OperatorContext, type OperatorTools } from '../types';

/**
 * Runs `jackdaw` with the given arguments.
 *
 * @param args - arguments after the binary's name
 * @returns the exit code
 */
export async function runOperatorCli(
  args: readonly string[],
  tools: OperatorTools,
  streams: Partial<BaseContext> = {},
): Promise<number> {
  const cli = new Cli<OperatorContext>({
    binaryLabel: 'jackdawmount operator tool',
    binaryName: 'jackdaw',
    binaryVersion: packageFile.version,
    enableColors: process.stdout.isTTY === true,
  });
  [Builtins.HelpCommand, Builtins.VersionCommand, ...COMMANDS].forEach((command) =>
    cli.register(command),
  );
  const context: OperatorContext = { ...Cli.defaultContext, ...streams, tools };
  try {
    const command = cli.process([...args], context);
    return await cli.run(command, context);
  } catch (error) {
    // Only an invalid command line throws; failures of commands are exit codes.
    context.stderr.write(cli.error(error, { colored: false }));
    return ExitCode.Usage;
  }
}
