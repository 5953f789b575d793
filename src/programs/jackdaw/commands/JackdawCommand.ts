import { Command } from 'clipanion';
import type { OperatorContext } from '../types';

/** Base of all commands of `jackdaw`. */
export abstract class JackdawCommand extends Command<OperatorContext> {
  /** Writes a line for the reader of the result. */
  protected writeLine(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }

  /** Writes a line about what went wrong or goes on. */
  protected writeNote(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  /** Writes a value as one line of JSON. */
  protected writeJson(value: unknown): void {
    this.writeLine(JSON.stringify(value));
  }
}
