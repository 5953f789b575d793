// Encodes the days of tests/days in the platform's format:
// `tsx tools/platform-days/main.ts SITE FOLDER`.
import { mkdir, readdir, readFile, writeFile } from 'node:fs/promises';
import { basename, join } from 'node:path';
import { encodeDay } from '../../platform/encodeDay';

const DAYS = 'tests/days';

const [site, folder] = process.argv.slice(2);
if (site === undefined || folder === undefined) {
  process.stderr.write('usage: tsx tools/platform-days/main.ts SITE FOLDER\n');
  process.exit(2);
}
const siteText = await readFile(site, 'utf8');
await mkdir(folder, { recursive: true });
for (const file of (await readdir(DAYS)).filter((one) => one.endsWith('.toml'))) {
  const name = basename(file, '.toml');
  const encoded = encodeDay(name, await readFile(join(DAYS, file), 'utf8'), siteText);
  if (encoded.isErr()) {
    process.stderr.write(`${join(DAYS, file)}: ${encoded.error}\n`);
    process.exit(1);
  }
  await writeFile(join(folder, file), encoded.value);
}
