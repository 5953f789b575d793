import { ApplyCommand } from './ApplyCommand';
import { CheckCommand } from './CheckCommand';
import { DemoCommand } from './DemoCommand';
import { DiffCommand } from './DiffCommand';
import { HistoryCommand } from './HistoryCommand';
import { RollbackCommand } from './RollbackCommand';

/** Every command of `jackdaw`, in the order in which `--help` lists them. */
export const COMMANDS = [
  CheckCommand,
  DiffCommand,
  ApplyCommand,
  HistoryCommand,
  RollbackCommand,
  DemoCommand,
] as const;
