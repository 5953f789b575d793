import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { createFakeClock } from '../../../../../standins/fakes';
import type { EventFields } from '../../../../application/ports';
import type { GatewaySettings } from '../../../../domain/forwarding';
import { readGatewaySettings } from '../readGatewaySettings';
import { startSettingsWatch } from '.';

const buildText = (seed: string): string => `
node_name = "vm-1"
ip = "10.1.0.1"
zone = "z1"
internal_ports = [7200, 7215]
seeds = ["${seed}"]
[listen]
frontend = "10.1.0.1:8740"
readiness = "10.1.0.1:8749"
[platform]
address = "10.200.1.7:8742"
`;

const setUp = async () => {
  const folder = await mkdtemp(join(tmpdir(), 'jackdaw-'));
  const file = join(folder, 'boot.toml');
  await writeFile(file, buildText('10.1.0.1:1'));
  const settings = (await readGatewaySettings(file))._unsafeUnwrap();
  const lines: (EventFields & { readonly message: string })[] = [];
  const applied: GatewaySettings[] = [];
  const take = (message: string, fields: EventFields): void => {
    lines.push({ ...fields, message });
  };
  const watch = startSettingsWatch({
    file,
    settings,
    clock: createFakeClock(),
    log: { info: take, warn: take, error: take },
    applySettings: (next) => {
      applied.push(next);
      return ['listen'];
    },
  });
  const stop = (): Promise<void> => {
    watch.stop();
    return rm(folder, { recursive: true });
  };
  return { applied, file, lines, stop, watch };
};

test('settings that changed are taken over once, and what needs a restart is named', async (t) => {
  const { applied, file, lines, stop, watch } = await setUp();
  await watch.readNow();
  t.is(applied.length, 0);
  await writeFile(file, buildText('10.1.0.2:1'));
  await watch.readNow();
  await watch.readNow();
  t.deepEqual(
    applied.map(({ seedAddresses }) => seedAddresses),
    [['10.1.0.2:1']],
  );
  t.deepEqual(lines, [{ message: 'settings in force', file, needRestart: 'listen' }]);
  await stop();
});

// Symptom: a VM loses its settings while its file is being written.
// Sequence: the file is read when only half of it is there.
// Cause: what can't be used replaces what was in force.
test('a file that is half written is refused, told once, and taken over once it is whole', async (t) => {
  const { applied, file, lines, stop, watch } = await setUp();
  await writeFile(file, buildText('10.1.0.2:1').slice(0, 40));
  await watch.readNow();
  await watch.readNow();
  t.is(applied.length, 0);
  t.is(lines.length, 1);
  t.regex(String(lines[0]?.reason), /boot\.toml: /);
  await writeFile(file, buildText('10.1.0.3:1'));
  await watch.readNow();
  t.is(applied.length, 1);
  await stop();
});
