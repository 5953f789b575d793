import { Command, Option } from 'clipanion';
import { z } from 'zod';
import type { TargetVm } from '../../../application/configuration';
import { explainLog } from '../explainLog';
import { renderTimeline } from '../renderTimeline';
import { ExitCode, type OperatorPlatform } from '../types';
import { PlatformCommand } from './PlatformCommand';

const decisionSchema = z.object({
  kind: z.string(),
  service: z.string(),
  candidates: z.array(z.string()),
  filtered: z.array(z.object({ backendServer: z.string(), reason: z.string() })),
  choice: z.string(),
  reason: z.string(),
  configurationVersion: z.number(),
});

type Decision = z.output<typeof decisionSchema>;

interface Explanation {
  readonly vm: string;
  /** Null if the VM did not answer. */
  readonly decisions: readonly Decision[] | null;
}

function renderDecision(decision: Decision): readonly string[] {
  const { kind, service, choice, reason, candidates, filtered, configurationVersion } = decision;
  const chosen = choice === '' ? 'nothing' : choice;
  return [
    `  ${kind} ${service}: ${chosen} (${reason}; configuration ${configurationVersion})`,
    `    candidates: ${candidates.length === 0 ? 'none' : candidates.join(', ')}`,
    ...filtered.map(
      ({ backendServer, reason: exclusionReason }) =>
        `    not ${backendServer}: ${exclusionReason}`,
    ),
  ];
}

/** `jackdaw explain`: shows why a request ran where it ran. */
export class ExplainCommand extends PlatformCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'Show each decision about a request.',
    details: `
      REQUEST is the value of the response header Jackdaw-Request-Id. Entries keep their newest
      decisions in memory; older ones are in their logs. With --log, the timeline of the request is
      built from the log files of all VMs, with the state that each VM assumed and for how long.
      Exit code 0: decisions shown; 1: a log cannot be read; 4: no VM answered; 6: no VM, or no log,
      has a decision about the request.
    `,
    examples: [
      ['Ask all entries', 'jackdaw explain req_5f0c --settings jackdaw.toml'],
      ['Ask one entry', 'jackdaw explain req_5f0c --vm entry-2 --json'],
      ['Read the logs of two VMs', 'jackdaw explain 52e82a --log vm-1.log --log vm-2.log'],
    ],
  });

  request = Option.String({ required: true });

  vm = Option.String('--vm', '', { description: 'Name or peer address of the only entry to ask.' });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object per decision.' });

  logs = Option.Array('--log', [], {
    description: 'Log file of one or more VMs; can be repeated.',
  });

  moreLogs = Option.Rest({ name: 'FILE' });

  override async execute(): Promise<ExitCode> {
    const files = [...this.logs, ...this.moreLogs];
    if (files.length === 0) return super.execute();
    const timeline = await explainLog(this.request, files);
    if (timeline.isErr()) {
      this.writeNote(timeline.error);
      return ExitCode.Refused;
    }
    if (this.json) timeline.value.forEach((line) => this.writeJson(line));
    else renderTimeline(timeline.value).forEach((line) => this.writeLine(line));
    if (timeline.value.length > 0) return ExitCode.Ok;
    this.writeNote(`no log line about ${this.request}`);
    return ExitCode.NotFound;
  }

  protected override async executeOn(platform: OperatorPlatform): Promise<ExitCode> {
    const vms = (await platform.listEntryVms()).filter(
      ({ vm, peerAddress }) => this.vm === '' || vm === this.vm || peerAddress === this.vm,
    );
    const explanations = await Promise.all(vms.map((vm) => this.readDecisions(platform, vm)));
    explanations.forEach((explanation) => this.writeExplanation(explanation));
    if (explanations.every(({ decisions }) => decisions === null)) {
      this.writeNote('no VM answered');
      return ExitCode.Unreachable;
    }
    if (explanations.some(({ decisions }) => (decisions ?? []).length > 0)) return ExitCode.Ok;
    this.writeNote(`no VM has a decision about ${this.request}`);
    return ExitCode.NotFound;
  }

  private async readDecisions(
    { calls }: OperatorPlatform,
    { vm, peerAddress }: TargetVm,
  ): Promise<Explanation> {
    const listed = await calls.listDecisions(peerAddress, this.request);
    return listed.match(
      (decisions) => ({ vm, decisions: z.array(decisionSchema).parse(decisions) }),
      () => ({ vm, decisions: null }),
    );
  }

  private writeExplanation({ vm, decisions }: Explanation): void {
    if (decisions === null) this.writeNote(`${vm} did not answer`);
    if (decisions === null || decisions.length === 0) return;
    if (this.json) {
      decisions.forEach((decision) => this.writeJson({ vm, ...decision }));
      return;
    }
    this.writeLine(`${vm}:`);
    decisions.flatMap(renderDecision).forEach((line) => this.writeLine(line));
  }
}
