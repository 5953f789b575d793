import test from 'ava';
import type { FairQueueState } from '../types';
import { computeStartTag } from '.';

const IDLE: FairQueueState = { virtualTime: 0, finishTags: new Map() };

const serve = (weights: Readonly<Record<string, number>>, served: number): readonly string[] => {
  const tagged: { workspace: string; startTag: number }[] = [];
  Object.entries(weights).forEach(([workspace, weight]) => {
    let state = IDLE;
    for (let index = 0; index < 100; index += 1) {
      const tag = computeStartTag(state, workspace, weight, 10);
      state = tag.state;
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

test('a workspace that was idle starts at the virtual time, without credit or penalty', (t) => {
  const busy: FairQueueState = { virtualTime: 500, finishTags: new Map([['busy', 900]]) };
  t.is(computeStartTag(busy, 'idle', 1, 10).startTag, 500);
  t.is(computeStartTag(busy, 'busy', 1, 10).startTag, 900);
});
