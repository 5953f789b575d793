import { createStandInEngine } from '../../../../standins/engine';
import type { StandInEngineOptions } from '../../../../standins/engine';

/** Runs the stand-in engines whose options come as JSON; prints their addresses as one line. */
const options = JSON.parse(process.argv[2] ?? '[]') as readonly StandInEngineOptions[];
const engines = await Promise.all(options.map((option) => createStandInEngine(option)));
process.stdout.write(`${JSON.stringify(engines.map(({ name, url }) => ({ name, url })))}\n`);
// The bench holds the other end: without this its death would leave the engines behind.
process.stdin.resume();
process.stdin.once('end', () => process.exit(0));
