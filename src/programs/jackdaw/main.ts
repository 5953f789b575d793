import { runOperatorCli } from './runOperatorCli';
import { wireOperatorTools } from './wireOperatorTools';

process.exitCode = await runOperatorCli(process.argv.slice(2), wireOperatorTools());
