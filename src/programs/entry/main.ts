import { runEntryCli } from './runEntryCli';

const exitCode = await runEntryCli(process.argv.slice(2));
// An immediate exit would drop log lines that are still buffered for a slow reader.
process.stdout.write('', () => process.exit(exitCode));
