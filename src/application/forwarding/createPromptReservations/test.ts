import test from 'ava';
import { createPromptReservations, type PromptReservations } from '.';

/**
 * A fleet whose VMs call each other directly; VMs for which `isDown` returns true do not respond.
 */
const buildFleet = (vms: number, isDown: (address: string) => boolean = () => false) => {
  const names = Array.from({ length: vms }, (_, index) => `vm-${index}`);
  const fleet = new Map<string, PromptReservations>();
  const told: string[] = [];
  let calls = 0;
  names.forEach((self) => {
    const unread = new Map<string, number>();
    fleet.set(
      self,
      createPromptReservations({
        self,
        listPeers: () => names.filter((name) => name !== self).map((vm) => ({ vm, address: vm })),
        tellPeer: (address, { server, tokens }) => {
          calls += 1;
          told.push(`${address} ${server} ${tokens}`);
        },
        askPeer: async (address, { server, tokens }) => {
          calls += 1;
          return isDown(address)
            ? null
            : (fleet.get(address)?.handleReservation(server, tokens) ?? null);
        },
        countPendingPrefillTokens: (server) => unread.get(server) ?? 0,
        recordPeerPrompt: (server, tokens) =>
          unread.set(server, (unread.get(server) ?? 0) + tokens),
      }),
    );
  });
  const find = (index: number): PromptReservations =>
    fleet.get(`vm-${index}`) as PromptReservations;
  return { countCalls: () => calls, find, told };
};

test('in a small fleet all other VMs are told of a prompt, and none is asked', async (t) => {
  const { countCalls, find, told } = buildFleet(3);
  t.is(await find(0).reservePrompt('i-1', 8200), 0);
  t.is(countCalls(), 0);
  find(0).tellPrompt('i-1', 8200);
  t.deepEqual(told, ['vm-1 i-1 8200', 'vm-2 i-1 8200']);
});

// Guards against prompts that wait for each other in a large fleet. Two of 60 VMs found the same
// engine idle within a tenth of a second, because broadcasts cost too much there. One prompt in
// eight waited behind another one, while most of 84 engines were idle.
test('in a large fleet the second VM that reserves a server learns of the first', async (t) => {
  const { countCalls, find, told } = buildFleet(60);
  let seen = 0;
  for (let server = 0; server < 84; server += 1) {
    await find(server % 60).reservePrompt(`i-${server}`, 8200);
    const others = await find((server + 7) % 60).reservePrompt(`i-${server}`, 4000);
    seen += Number(others > 0);
  }
  // The owner of a server does not ask: it knows its own prompts.
  t.true(seen >= 78, `${seen} of 84`);
  t.true(countCalls() <= 2 * 84);
  find(0).tellPrompt('i-1', 8200);
  t.deepEqual(told, []);
});

test('a VM that does not respond delays no prompt', async (t) => {
  const { find } = buildFleet(60, () => true);
  t.is(await find(0).reservePrompt('i-1', 8200), 0);
});

test('the only VM of a fleet makes no calls', async (t) => {
  const { countCalls, find } = buildFleet(1);
  find(0).tellPrompt('i-1', 8200);
  t.is(await find(0).reservePrompt('i-1', 8200), 0);
  t.is(countCalls(), 0);
});
