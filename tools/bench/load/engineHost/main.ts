import { createStandInEngine } from '../../../../standins/engine';
import type { StandInEngineOptions } from '../../../../standins/engine';

/** Runs stand-in engines with the options of a JSON argument and prints their URLs as one line. */
const options = JSON.parse(process.argv[2] ?? '[]') as readonly StandInEngineOptions[];
const engines = await Promise.all(options.map((option) => createStandInEngine(option)));
process.stdout.write(`${JSON.stringify(engines.map(({ name, url }) => ({ name, url })))}\n`);
// Standard input ends when the bench exits or is killed: the engines must not outlive it.
process.stdin.resume();
process.stdin.once('end', () => process.exit(0));
