import { Command } from 'clipanion';
import { ExitCode } from '../types';
import { JackdawCommand } from './JackdawCommand';

/**
 * Bundle of the demo, built beside this one. It contains the stand-ins, which the product must not
 * import. The import uses a constant in place of a literal, so that the bundler does not inline it.
 */
const DEMO_MODULE = './jackdaw-demo.js';

interface DemoModule {
  runDemoCommand(write: (text: string) => void): Promise<number>;
}

/** `jackdaw demo`: runs a whole system in one process and kills an engine during a generation. */
export class DemoCommand extends JackdawCommand {
  static override paths = [['demo']];

  static override usage = Command.Usage({
    description: 'Show a generation that survives the crash of its engine.',
    details: `
      Starts entries, engines and a platform in this process on loopback, applies the sample
      configuration, sends the sample dossier and kills the engine during the generation. The last
      line is computed from the events that the caller received.
      Exit code 0: nothing was missing, repeated or mixed; 1: something was, or the demo failed.
    `,
    examples: [['Run it', 'jackdaw demo']],
  });

  override async execute(): Promise<number> {
    try {
      const demo = (await import(DEMO_MODULE)) as DemoModule;
      return await demo.runDemoCommand((text) => this.context.stdout.write(text));
    } catch (error) {
      this.writeNote(`demo: ${error instanceof Error ? error.message : String(error)}`);
      return ExitCode.Refused;
    }
  }
}
