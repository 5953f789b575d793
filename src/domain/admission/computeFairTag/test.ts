import test from 'ava';
import type { FairShares } from '../types';
import { computeFairTag } from '.';

const IDLE: FairShares = { virtualTime: 0, finishTags: new Map() };

const serve = (weights: Readonly<Record<string, number>>, served: number): readonly string[] => {
  const tagged: { workspace: string; startTag: number }[] = [];
  Object.entries(weights).forEach(([workspace, weight]) => {
    let shares = IDLE;
    for (let index = 0; index < 100; index += 1) {
      const tag = computeFairTag(shares, workspace, weight, 10);
      shares = tag.shares;
      tagged.push({ workspace, startTag: tag.startTag });
    }
  });
  return tagged
    .sort((left, right) => left.startTag - right.startTag)
    .slice(0, served)
    .map(({ workspace }) => workspace);
};

test('backlogged workspaces are served in proportion to their weights', (t) => {
  const served = serve({ large: 3, small: 1 }, 80);
  t.is(served.filter((workspace) => workspace === 'large').length, 60);
});

test('a workspace that was idle neither saved up a share nor lost its turn', (t) => {
  const busy: FairShares = { virtualTime: 500, finishTags: new Map([['busy', 900]]) };
  t.is(computeFairTag(busy, 'idle', 1, 10).startTag, 500);
  t.is(computeFairTag(busy, 'busy', 1, 10).startTag, 900);
});
