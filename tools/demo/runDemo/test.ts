// Guards against an answer that breaks off or repeats tokens when its engine is killed in
// mid-stream: without the tokens that the entry keeps, the second attempt would start over.
import test from 'ava';
import { runDemo } from '.';

test('the demo shows one complete answer although the engine is killed', async (t) => {
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
  t.regex(shown, /review-\d+ resumes after \d+ ms/);
});
