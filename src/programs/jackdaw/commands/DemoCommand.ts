import { Command } from 'clipanion';
import { ExitCode } from '../types';
import { JackdawCommand } from './JackdawCommand';

/**
 * The demo's bundle, built beside this one. It holds the stand-ins, which the product must not
 * import; the name is not a literal in the import, so that the bundler leaves it alone.
 */
const DEMO_MODULE = './jackdaw-demo.js';

interface DemoModule {
  runDemoCommand(write: (text: string) => void): Promise<number>;
}

/** `jackdaw demo`: a whole system in one process, an engine killed in mid-generation. */
export class DemoCommand extends JackdawCommand {
  static override paths = [['demo']];

  static override usage = Command.Usage({
    description: 'Show a generation that survives its engine.',
    details: `
      Starts entries, engines and a platform in this process on loopback, applies the sample
      configuration, sends the sample dossier and kills the engine in mid-generation. The last line
      is worked out from what the caller received.
      Exit code 0: nothing was missing, repeated or mixed; 1: something was, or it could not run.
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
