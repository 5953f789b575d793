import { Builtins, Cli } from 'clipanion';
import { BENCH_COMMANDS } from './commands';

const cli = new Cli({ binaryLabel: 'jackdawmount benches', binaryName: 'npm run bench --' });
[Builtins.HelpCommand, ...BENCH_COMMANDS].forEach((command) => cli.register(command));
process.exit(await cli.run(process.argv.slice(2)));
