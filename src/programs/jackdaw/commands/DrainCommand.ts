import { Command, Option } from 'clipanion';
import { z } from 'zod';
import type { TargetVm } from '../../../application/configuration';
import { waitDelay } from '../../../application/time';
import { ExitCode, type OperatorPlatform } from '../types';
import { PlatformCommand } from './PlatformCommand';

const POLL_MS = 500;
const MS_PER_S = 1_000;

const runningSchema = z.object({ running: z.number() });

function readRunning(status: unknown): number | null {
  const parsed = runningSchema.safeParse(status);
  return parsed.success ? parsed.data.running : null;
}

/** `jackdaw drain`: shuts one entry down without aborting its work. */
export class DrainCommand extends PlatformCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    description: 'Shut one entry down gracefully.',
    details: `
      The entry accepts no new work, lets running work end, hands over by cursor what is still
      running at the configured drain timeout, and exits. VM is its name or peer address.
      Exit code 0: drain started, or ended with --wait; 4: the entry did not answer; 5: it was still
      running at the end of --wait; 6: no such VM.
    `,
    examples: [
      ['Drain a VM', 'jackdaw drain entry-2 --settings jackdaw.toml'],
      ['Wait until it has ended', 'jackdaw drain entry-2 --wait --wait-seconds 600'],
    ],
  });

  vm = Option.String({ required: true });

  wait = Option.Boolean('--wait', false, { description: 'Wait until the process has ended.' });

  waitSeconds = Option.String('--wait-seconds', '120', { description: 'Timeout of --wait.' });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object.' });

  protected override async executeOn(platform: OperatorPlatform): Promise<ExitCode> {
    const seconds = this.parseWholeNumber('--wait-seconds', this.waitSeconds, 1);
    if (seconds === null) return ExitCode.Usage;
    const vms = await platform.listEntryVms();
    const target = vms.find(({ vm, peerAddress }) => vm === this.vm || peerAddress === this.vm);
    if (target === undefined) {
      this.writeNote(`no VM ${this.vm}; see "jackdaw status"`);
      return ExitCode.NotFound;
    }
    const drained = await platform.calls.drainVm(target.peerAddress);
    if (drained.isErr()) {
      this.writeNote(`${target.vm} did not answer: ${drained.error.reason}`);
      return ExitCode.Unreachable;
    }
    const ended = this.wait ? await this.waitForEnd(platform, target, seconds * MS_PER_S) : null;
    if (this.json) {
      this.writeJson({ vm: target.vm, running: drained.value, ended });
    } else {
      this.writeLine(`${target.vm}: draining, ${drained.value} requests were running`);
      if (ended !== null) this.writeLine(`${target.vm}: ${ended ? 'ended' : 'still running'}`);
    }
    return ended === false ? ExitCode.Lagging : ExitCode.Ok;
  }

  private async waitForEnd(
    { calls, clock }: OperatorPlatform,
    target: TargetVm,
    timeoutMs: number,
  ): Promise<boolean> {
    const endMs = clock.readMonotonicMs() + timeoutMs;
    while (clock.readMonotonicMs() < endMs) {
      const read = await calls.readStatus(target.peerAddress);
      // A busy VM may answer late; only a VM that refuses connections has ended.
      if (read.isErr() && read.error.kind === 'unreachable') {
        this.endProgress();
        return true;
      }
      const running = readRunning(read.unwrapOr(null));
      if (running !== null) this.writeProgress(`${target.vm}: ${running} requests running`);
      await waitDelay(clock, POLL_MS);
    }
    this.endProgress();
    return false;
  }
}
