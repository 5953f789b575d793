import { Builtins, Cli, type BaseContext, type CommandClass } from 'clipanion';
import packageFile from '../../../../package.json';

/** Exit codes of the long-running binaries, documented in docs/operators. */
export const SERVICE_EXIT_CODES = { done: 0, failed: 1, usage: 2 } as const;

/** A long-running binary, which has a single command. */
export interface ServiceCli {
  readonly label: string;
  readonly name: string;
  readonly command: CommandClass;
}

/**
 * Runs a long-running binary with the given arguments until it has stopped.
 *
 * @param service - the binary
 * @param args - arguments after the binary's name
 * @param streams - replacements of the standard streams, for tests
 * @returns the exit code
 */
export const runServiceCli = async (
  { label, name, command }: ServiceCli,
  args: readonly string[],
  streams: Partial<BaseContext>,
): Promise<number> => {
  const cli = new Cli({
    binaryLabel: label,
    binaryName: name,
    binaryVersion: packageFile.version,
    enableColors: false,
  });
  [Builtins.HelpCommand, Builtins.VersionCommand, command].forEach((each) => cli.register(each));
  const context = { ...Cli.defaultContext, ...streams };
  try {
    return await cli.run(cli.process([...args], context), context);
  } catch (error) {
    // Only an invalid command line is thrown here.
    context.stderr.write(cli.error(error, { colored: false }));
    return SERVICE_EXIT_CODES.usage;
  }
};
