import test from 'ava';
import { readSettingsFile } from '../../src/adapters/toml';
import { EntrySettingsSchema } from '../../src/programs/entry/types';

test.serial('the example settings are accepted, with secrets from the environment', async (t) => {
  process.env.JACKDAW_ACCESS_KEY_ID = 'id';
  process.env.JACKDAW_SECRET_ACCESS_KEY = 'secret';
  process.env.JACKDAW_CURSOR_KEY = 'k'.repeat(32);
  const read = await readSettingsFile('examples/entry.toml', EntrySettingsSchema);
  const settings = read._unsafeUnwrap();
  t.is(settings.vm.availabilityZone, 'gt-central-a');
  t.is(settings.table.secretAccessKey, 'secret');
  t.deepEqual(settings.cursorKeys, ['k'.repeat(32)]);
});

test.serial('a missing or too short secret is reported by key without its value', async (t) => {
  delete process.env.JACKDAW_SECRET_ACCESS_KEY;
  process.env.JACKDAW_CURSOR_KEY = 'tooshort';
  const problems = (
    await readSettingsFile('examples/entry.toml', EntrySettingsSchema)
  )._unsafeUnwrapErr();
  t.true(problems.some(({ key, line }) => key === 'table.secret_access_key' && line > 0));
  t.true(problems.some(({ key }) => key.startsWith('cursors.keys')));
  t.notRegex(JSON.stringify(problems), /tooshort/);
});
