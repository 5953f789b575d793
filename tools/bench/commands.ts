import { ConfigCommand } from './config';
import { LoadCommand, PredictionCommand } from './load';
import { MembershipCommand } from './membership';
import { RelayCommand } from './relay';
import { ResumeCommand } from './resume';
import { SlopesCommand } from './slopes';

/** All benches. Each has its own folder and prints one JSON object as its last line. */
export const BENCH_COMMANDS = [
  ConfigCommand,
  LoadCommand,
  PredictionCommand,
  MembershipCommand,
  RelayCommand,
  ResumeCommand,
  SlopesCommand,
];
