import { Command } from 'clipanion';
import type { OperatorContext } from '../types';

/** Moves to the start of the line and clears it, so that a progress line replaces the last. */
const CLEAR_LINE = '\r\u001b[K';

/** Base class of all commands of `jackdaw`. */
export abstract class JackdawCommand extends Command<OperatorContext> {
  private progress = '';

  /** Writes a line of the result to standard output. */
  protected writeLine(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }

  /** Writes a message about errors or progress to standard error. */
  protected writeNote(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  /** Writes a value as one line of JSON. */
  protected writeJson(value: unknown): void {
    this.writeLine(JSON.stringify(value));
  }

  /** Parses a whole number of at least `minimum`; null, with a message, if it is invalid. */
  protected parseWholeNumber(option: string, text: string, minimum: number): number | null {
    if (/^\d{1,15}$/.test(text) && Number(text) >= minimum) {
      return Number(text);
    }
    this.writeNote(`${option} must be a whole number of at least ${minimum}`);
    return null;
  }

  /** Writes progress: in place on a terminal, otherwise one line per change. */
  protected writeProgress(line: string): void {
    if (line === this.progress) {
      return;
    }
    this.progress = line;
    this.context.stderr.write(this.isTerminal() ? `${CLEAR_LINE}${line}` : `${line}\n`);
  }

  /** Ends the progress line, so that further output starts on a new line. */
  protected endProgress(): void {
    if (this.progress !== '' && this.isTerminal()) {
      this.context.stderr.write('\n');
    }
  }

  private isTerminal(): boolean {
    return (this.context.stderr as { readonly isTTY?: boolean }).isTTY === true;
  }
}
