// Guards against a sound request that is refused for long as servers, links or VMs failed under it.
import test from 'ava';
import { simulateRepeats, type RepeatSimulation, type ServerFault } from '../../standins/crashes';

/** Time after a failure from which on each repeat is served at the first attempt. */
const SETTLE_MS = 2000;

/** Servers of a zone, and the times at which one is lost. */
const ZONE_SERVERS = 6;
const LOSSES_MS = [1000, 4000, 7000];

const list = (count: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => index);

type Failures = Required<Pick<RepeatSimulation, 'events'>> & { readonly endMs: number };

/** A zone that is lost three times, each time with other servers. */
const loseZones = (how: ServerFault['how']): Failures => ({
  events: LOSSES_MS.map((atMs) => ({
    atMs,
    run: ({ servers }) =>
      servers
        .listIds()
        .slice(0, ZONE_SERVERS)
        .forEach((id) => servers.crash(id, how)),
  })),
  endMs: 7000,
});

const FAILURES: Readonly<Record<string, Failures>> = {
  'all connections are reset for two seconds': {
    events: list(100).map((index) => ({
      atMs: 1000 + index * 20,
      run: ({ servers }) => servers.listIds().forEach(servers.resetConnections),
    })),
    endMs: 3000,
  },
  'half of the VMs are cut off for three seconds, again and again': {
    events: [1000, 5000].flatMap((atMs) => [
      { atMs, run: ({ cutVms }) => ['vm-0', 'vm-1'].forEach((vm) => cutVms.add(vm)) },
      { atMs: atMs + 3000, run: ({ cutVms }) => cutVms.clear() },
    ]),
    endMs: 8000,
  },
  'a zone is lost three times': loseZones('reset'),
  'a zone falls silent three times': loseZones('dark'),
};

Object.entries(FAILURES).forEach(([name, { endMs, events }]) => {
  test(`a sound request is served soon after ${name}`, async (t) => {
    for (const kind of ['call', 'stream'] as const) {
      for (const seed of [1, 2, 3]) {
        const { repeats } = await simulateRepeats({
          seed,
          kind,
          events,
          fault: { how: 'reset', progress: 'none' },
          isBad: false,
          isRelayed: false,
          isFramed: true,
          maxAttempts: 5,
          repeatGapMs: 40,
        });
        const later = repeats.filter(({ atMs }) => atMs > endMs + SETTLE_MS);
        t.true(later.length > 100);
        t.deepEqual(
          later.filter(({ outcome }) => outcome !== 'answered'),
          [],
          `${kind}, seed ${seed}`,
        );
      }
    }
  });
});
