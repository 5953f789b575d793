import { Command } from 'clipanion';
import type { OperatorContext } from '../types';

/** Clears the line and goes to its start, so that a progress line replaces the one before. */
const CLEAR_LINE = '\r\u001b[K';

/** Base of all commands of `jackdaw`. */
export abstract class JackdawCommand extends Command<OperatorContext> {
  private progress = '';

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

  /** Reads a whole number of at least `least` from an option; null, with a note, if it is none. */
  protected parseWholeNumber(option: string, text: string, minimum: number): number | null {
    if (/^\d{1,15}$/.test(text) && Number(text) >= minimum) {
      return Number(text);
    }
    this.writeNote(`${option} must be a whole number of at least ${minimum}`);
    return null;
  }

  /** Shows progress: in place on a terminal, else one line for each change. */
  protected writeProgress(line: string): void {
    if (line === this.progress) {
      return;
    }
    this.progress = line;
    this.context.stderr.write(this.isTerminal() ? `${CLEAR_LINE}${line}` : `${line}\n`);
  }

  /** Ends the progress line, so that what follows starts on its own. */
  protected endProgress(): void {
    if (this.progress !== '' && this.isTerminal()) {
      this.context.stderr.write('\n');
    }
  }

  private isTerminal(): boolean {
    return (this.context.stderr as { readonly isTTY?: boolean }).isTTY === true;
  }
}
