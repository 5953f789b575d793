import test from 'ava';
import { mergePaceEstimates } from '.';

test('a server without samples has the pace of its service', (t) => {
  t.is(mergePaceEstimates({ value: 0, samples: 0 }, 20), 20);
  t.is(mergePaceEstimates({ value: 0, samples: 0 }, 0), 0);
});

test('own samples outweigh the service the more there are', (t) => {
  t.is(mergePaceEstimates({ value: 10, samples: 4 }, 20), 15);
  t.is(mergePaceEstimates({ value: 10, samples: 36 }, 20), 11);
  t.is(mergePaceEstimates({ value: 10, samples: 1 }, 0), 10);
});
