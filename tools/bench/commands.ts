import { ResumeCommand } from './resume';

/** All benches. Each stands in its own folder and prints one JSON object as its last line. */
export const BENCH_COMMANDS = [ResumeCommand];
