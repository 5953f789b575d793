import { runKeeperCli } from './runKeeperCli';

process.exit(await runKeeperCli(process.argv.slice(2)));
