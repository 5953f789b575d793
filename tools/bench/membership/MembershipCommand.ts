import { Command } from 'clipanion';
import { measureExchangeOverhead } from './measureExchangeOverhead';
import { measureRegion } from './measureRegion';
import type { RegionSize } from './measureRegion';

/** Membership alone, then with the brief's servers, then with a third of the two-year size. */
const SIZES: readonly RegionSize[] = [
  { vms: 3, servers: 0 },
  { vms: 6, servers: 0 },
  { vms: 9, servers: 0 },
  { vms: 18, servers: 0 },
  { vms: 36, servers: 0 },
  { vms: 113, servers: 0 },
  { vms: 3, servers: 28 },
  { vms: 6, servers: 28 },
  { vms: 9, servers: 28 },
  { vms: 18, servers: 32 },
  { vms: 36, servers: 64 },
  { vms: 113, servers: 200 },
];

/** Measures the bytes of the gossip between entries at several region sizes. */
export class MembershipCommand extends Command {
  static override paths = [['membership']];

  static override usage = Command.Usage({
    description: 'Measures the news that entries send each other at several sizes.',
    details: `
      Regions run in this process on a fake clock; the bytes that HTTP/2 adds to an exchange are
      measured on loopback and added. The last line is one JSON object.
    `,
    examples: [['All sizes', '$0 membership']],
  });

  override async execute(): Promise<number> {
    const overhead = await measureExchangeOverhead();
    const perMessage = (overhead.requestBytes + overhead.answerBytes) / 2;
    const regions = [];
    for (const size of SIZES) {
      const traffic = await measureRegion(size);
      const wire = Math.round(traffic.bytesPerSecond + traffic.messagesPerSecond * perMessage);
      regions.push({ ...traffic, wireBytesPerSecond: wire });
      this.context.stderr.write(`${JSON.stringify(regions.at(-1))}\n`);
    }
    this.context.stdout.write(`${JSON.stringify({ overhead, regions })}\n`);
    return 0;
  }
}
