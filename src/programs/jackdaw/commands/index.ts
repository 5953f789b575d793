import { ApplyCommand } from './ApplyCommand';
import { CheckCommand } from './CheckCommand';
import { DemoCommand } from './DemoCommand';
import { DiffCommand } from './DiffCommand';
import { DrainCommand } from './DrainCommand';
import { ExplainCommand } from './ExplainCommand';
import { HistoryCommand } from './HistoryCommand';
import { RollbackCommand } from './RollbackCommand';
import { StatusCommand } from './StatusCommand';

/** All commands of `jackdaw`, in the order of `--help`. */
export const COMMANDS = [
  CheckCommand,
  DiffCommand,
  ApplyCommand,
  HistoryCommand,
  RollbackCommand,
  StatusCommand,
  ExplainCommand,
  DrainCommand,
  DemoCommand,
] as const;
