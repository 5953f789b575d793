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

test('a day keeps the traffic of the deployment, and has our troubles', (t) => {
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

test('a trouble that is not known, and a key that is none, are named', (t) => {
  t.regex(
    encodeDay('own', DAY.replace('vms-freeze', 'vms-fly'), SITE)._unsafeUnwrapErr(),
    /^trouble\.what: vms-fly is none of /,
  );
  t.regex(
    encodeDay('own', DAY.replace('share', 'shard'), SITE)._unsafeUnwrapErr(),
    /^trouble\.0: .*shard/,
  );
});

test('every day of ours can be encoded', async (t) => {
  const files = await readdir(FOLDER);
  t.true(files.length > 0);
  await Promise.all(
    files.map(async (file) => {
      const encoded = encodeDay(file, await readFile(join(FOLDER, file), 'utf8'), SITE);
      t.true(encoded.isOk(), `${file}: ${encoded.isErr() ? encoded.error : ''}`);
    }),
  );
});
