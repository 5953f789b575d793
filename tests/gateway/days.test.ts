import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import test from 'ava';
import { parse } from 'smol-toml';
import { encodeDay } from '../../platform/encodeDay';
import { readOk } from '../_lib/readOk';

const FOLDER = 'tests/days';

const SITE = `
[[day]]
name = "calm"
seed = 1
plan = []
faults = [{ kind = "other", at = 1.0 }]
traffic = [{ zone = "z1" }]
`;

const DAY = `
purpose = "a test"
seed = 5
[[trouble]]
what = "vms-freeze"
at_s = 3
share = 0.5
strength = 2
variant = "x"
`;

test('an encoded day has the traffic of the deployment and the faults of the day file', (t) => {
  const encoded = parse(readOk(encodeDay('own', DAY, SITE)));
  t.deepEqual(encoded, {
    day: [
      {
        name: 'own',
        seed: 5,
        plan: [],
        faults: [{ kind: 'node_freeze', at: 3, share: 0.5, x: 2, how: 'x' }],
        traffic: [{ zone: 'z1' }],
      },
    ],
  });
});

test('an unknown fault and an unknown key are named in the error', (t) => {
  t.regex(
    encodeDay('own', DAY.replace('vms-freeze', 'vms-fly'), SITE)._unsafeUnwrapErr(),
    /^trouble\.what: vms-fly is none of /,
  );
  t.regex(
    encodeDay('own', DAY.replace('share', 'shard'), SITE)._unsafeUnwrapErr(),
    /^trouble\.0: .*shard/,
  );
});

test('every day file of this repository can be encoded', async (t) => {
  const files = await readdir(FOLDER);
  t.true(files.length > 0);
  await Promise.all(
    files.map(async (file) => {
      const encoded = encodeDay(file, await readFile(join(FOLDER, file), 'utf8'), SITE);
      t.true(encoded.isOk(), `${file}: ${encoded.isErr() ? encoded.error : ''}`);
    }),
  );
});
