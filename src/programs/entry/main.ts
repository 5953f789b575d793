import { runEntryCli } from './runEntryCli';

process.exit(await runEntryCli(process.argv.slice(2)));
