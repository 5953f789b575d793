import { runEntryCli } from './runEntryCli';

const exitCode = await runEntryCli(process.argv.slice(2));
// An exit at once would drop log lines that still wait for a slow reader of standard output.
process.stdout.write('', () => process.exit(exitCode));
