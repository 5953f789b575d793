// Symptom: the caller's answer breaks off, or a token comes twice, when an engine dies.
// Sequence: a review runs on one engine; the engine is killed after token 10; another goes on.
// Cause: without the tokens held at the entry the second attempt would begin again from the start.
import test from 'ava';
import { runDemo } from '.';

test('the demo shows one whole answer although its engine dies', async (t) => {
  let shown = '';
  const report = await runDemo(
    {
      configurationFolder: 'examples/sello',
      dossierFile: 'examples/dossier.txt',
      tokens: 30,
      killAt: 10,
      firstTokenMs: 5,
      gapMs: 2,
    },
    (text) => {
      shown += text;
    },
  );
  t.like(report, { ok: true, tokens: 30, missing: 0, repeated: 0, mixed: 0, resumes: 1 });
  t.regex(shown, /review-\d+ is killed after token 10/);
  t.regex(shown, /review-\d+ goes on after \d+ ms/);
});
