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
  const recordLine = (message: string, fields: EventFields): void => {
    lines.push({ ...fields, message });
  };
  const watch = startSettingsWatch({
    file,
    settings,
    clock: createFakeClock(),
    log: { info: recordLine, warn: recordLine, error: recordLine },
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

test('changed settings are applied once, and the keys that need a restart are logged', async (t) => {
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

// Failure: a VM loses its settings while the file is being written. The file is read when it is
// incomplete, and its invalid content replaces the settings in force.
test('an incomplete file is rejected and logged once, and applied once it is complete', async (t) => {
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
