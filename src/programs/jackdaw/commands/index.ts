import { CheckCommand } from './CheckCommand';

/** Every command of `jackdaw`, in the order in which `--help` lists them. */
export const COMMANDS = [CheckCommand] as const;
