import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { readKnownFailures } from '.';

const ENTRY = `[[entry]]
suite = "unit"
test = "a › slow one"
command = "npx ava a.test.ts"
seed = 4
seen = "loses a race"
issue = 31
`;

const read = async (text: string) => {
  const file = join(await mkdtemp(join(tmpdir(), 'known-red-')), 'list.txt');
  await writeFile(file, text);
  return readKnownFailures(file);
};

test('an entry gives the test, the command, the observed failure and the issue', async (t) => {
  t.deepEqual(await read(ENTRY), [
    {
      name: 'a › slow one',
      suite: 'unit',
      line: 'a › slow one — loses a race — npx ava a.test.ts (seed 4) — issue 31',
    },
  ]);
});

test('a missing file lists nothing', async (t) => {
  t.deepEqual(await readKnownFailures('/nowhere/KNOWN-RED.txt'), []);
});

test('rejects a missing field, an unknown field and too many entries, with its name', async (t) => {
  await t.throwsAsync(read(ENTRY.replace('seed = 4\n', '')), { message: /entry\.0\.seed/ });
  await t.throwsAsync(read(`${ENTRY}other = 1\n`), { message: /other/ });
  await t.throwsAsync(read(ENTRY.repeat(9)), { message: /entry/ });
  await t.throwsAsync(read('a › slow one — loses a race — issue 4'));
});
