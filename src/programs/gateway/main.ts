import { runGatewayCli } from './runGatewayCli';

runGatewayCli(process.argv.slice(2)).then((exitCode) => process.exit(exitCode));
