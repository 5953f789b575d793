import { mkdtemp, mkdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { readConfigurationFolder } from '.';
import { formatProblem } from '../formatProblem';

const DIGEST = 'a'.repeat(64);
const BASE = `[deployment]
name = "small"
survival = "latency"
[places.north]
region = "r"
availability_zones = ["z1"]
[services.review]
kind = "model"
[backend_servers.engine]
url = "http://127.0.0.1:9000"
region = "r"
availability_zone = "z1"
services = ["review"]
slots = 4
[workspaces.alpha]
key_digests = ["${DIGEST}"]
services = ["review"]
places = ["north"]
`;

async function readFiles(t: ExecutionContext, files: Readonly<Record<string, string>>) {
  const folder = await mkdtemp(join(tmpdir(), 'jackdaw-test-'));
  t.teardown(() => rm(folder, { recursive: true }));
  await Promise.all(
    Object.entries(files).map(([name, text]) => writeFile(join(folder, name), text)),
  );
  const read = await readConfigurationFolder(folder);
  const problems = read.isErr() ? read.error : [];
  return { read, lines: problems.map((one) => formatProblem(one).replace(`${folder}/`, '')) };
}

test('a folder is read with defaults, and both examples are valid', async (t) => {
  const { read } = await readFiles(t, { '10.toml': BASE, 'notes.txt': 'not TOML' });
  const configuration = read.unwrapOr(null);
  t.is(configuration?.services[0]?.model, 'review');
  t.is(configuration?.limits.lookupReserve, 0.25);
  const sello = (await readConfigurationFolder('examples/sello')).unwrapOr(null);
  t.is(sello?.backendServers.length, 23);
  t.false(sello?.services.find(({ name }) => name === 'appointment')?.idempotent);
  t.true((await readConfigurationFolder('examples/cymdeithas')).isOk());
});

// Each case lists the files, which extend or replace BASE, and all problems expected of them.
const CASES: readonly (readonly [string, Readonly<Record<string, string>>, readonly string[]])[] = [
  [
    'key set twice',
    { 'a.toml': BASE, 'b.toml': '[services.review]\ntimeout_ms = 1\nkind = "model"\n' },
    [
      'b.toml:3: services.review.kind: is already set in a.toml:8; remove one, or put "override = true" at the top of this file',
    ],
  ],
  [
    'unknown key, wrong type, missing key, all at once',
    {
      'a.toml': BASE.replace('slots = 4', 'slots = "4"').replace('region = "r"\nava', 'ava'),
      'b.toml': '[limits]\ndrain = 3\n',
    },
    [
      'a.toml:4: places.north.region: is missing (Invalid input: expected string, received undefined)',
      'a.toml:13: backend_servers.engine.slots: Invalid input: expected number, received string',
      'b.toml:2: limits.drain: unknown key',
    ],
  ],
  [
    'syntax',
    { 'a.toml': BASE, 'b.toml': '[limits]\ndrain_ms = = 3\n' },
    ['b.toml:2: Invalid TOML document: invalid value'],
  ],
  ['empty folder', {}, ['holds no .toml file']],
  [
    'workspace without a place',
    { 'a.toml': BASE.replace('places = ["north"]', 'places = []') },
    ['a.toml:18: workspaces.alpha.places: must name at least one'],
  ],
  [
    'unknown names',
    { 'a.toml': BASE.replace('places = ["north"]', 'places = ["south"]') },
    ['a.toml:18: workspaces.alpha.places: names the unknown place "south"'],
  ],
  [
    'no server in an allowed place; a zone of no place; a second owner of a key',
    {
      'a.toml': BASE.replace('availability_zone = "z1"', 'availability_zone = "z9"'),
      'b.toml': `[workspaces.beta]\nkey_digests = ["${DIGEST}"]\nservices = ["review"]\nplaces = ["north"]`,
    },
    [
      'a.toml:12: backend_servers.engine.availability_zone: no place holds availability zone "z9" of region "r", so that nothing could run here',
      'a.toml:17: workspaces.alpha.services: no backend server of north serves "review"',
      'b.toml:3: workspaces.beta.services: no backend server of north serves "review"',
      'b.toml:2: workspaces.beta.key_digests: holds a key digest that workspace "alpha" already holds',
    ],
  ],
  [
    'a rule that leaves no place',
    {
      'a.toml': BASE,
      'b.toml':
        '[places.south]\nregion = "r"\navailability_zones = ["z1"]\n[placement_rules.only-south]\nplaces = ["south"]',
    },
    [
      'b.toml:5: placement_rules.only-south.places: leaves no place to service "review" of workspace "alpha" (rules that cover it: only-south)',
    ],
  ],
  [
    'engine target of an unknown server',
    { 'a.toml': BASE, 'b.toml': '[engine_targets.all]\nbackend_servers = ["gone"]\nmodels = []' },
    ['b.toml:2: engine_targets.all.backend_servers: names the unknown backend server "gone"'],
  ],
  [
    'a URL by host name and a bad name',
    { 'a.toml': BASE.replace('127.0.0.1', 'engine.local'), 'b.toml': '[places."a b"]\n' },
    [
      'b.toml:1: places.a b: bad name: must be letters, digits, ".", "_" or "-"',
      'a.toml:10: backend_servers.engine.url: must be http(s)://IP:PORT, by IP number and without a path',
    ],
  ],
];

CASES.forEach(([title, files, expected]) => {
  test(`names file, line, key and reason: ${title}`, async (t) => {
    const { lines } = await readFiles(t, files);
    t.deepEqual(
      lines.map((line) =>
        line
          .replace(/^.*jackdaw-test-\w+: /, '')
          .replaceAll(/\/\S*\//g, (path) => (path.includes('jackdaw-test-') ? '' : path)),
      ),
      expected,
    );
  });
});

test('a file with override = true may set keys of an earlier file', async (t) => {
  const { read } = await readFiles(t, {
    'a.toml': BASE,
    'b.toml': 'override = true\n[backend_servers.engine]\nslots = 9\n',
  });
  t.is(read.unwrapOr(null)?.backendServers[0]?.slots, 9);
});

test('a folder that does not exist and a file that cannot be read give one problem each', async (t) => {
  const missing = await readConfigurationFolder('no-such-folder');
  t.is(missing.isErr() ? missing.error.length : 0, 1);
  const folder = await mkdtemp(join(tmpdir(), 'jackdaw-test-'));
  t.teardown(() => rm(folder, { recursive: true }));
  await mkdir(join(folder, 'a.toml'));
  const read = await readConfigurationFolder(folder);
  t.is(read.isErr() ? read.error[0]?.reason : '', 'cannot be read (EISDIR)');
});
