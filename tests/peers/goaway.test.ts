import test from 'ava';
import { createPeerClient, startPeerServer } from '../../src/adapters/connect';
import type { PeerServices } from '../../src/application/peers';
import { createSystemClock } from '../../src/adapters/system';
import { readOk } from '../_lib/readOk';

/** Event loop turns between the peer's stop and the client's action; the race window is small. */
const MAX_TURNS = 8;
const REPEATS = 6;

const services: PeerServices = {
  handleNews: (news) => news,
  generations: null,
  decisions: { listDecisions: () => [] },
  readEncoded: () => null,
  readStatus: () => ({}),
  drain: () => 0,
};

// Guards against an entry that crashes with "received GOAWAY without any open streams": a peer's
// shutdown destroys the idle connection, and the library removes its error listener before the
// error is emitted.
test('a call or close while a peer shuts down does not crash the process', async (t) => {
  for (let round = 0; round < MAX_TURNS * REPEATS; round += 1) {
    const server = readOk(await startPeerServer({ host: '127.0.0.1', port: 0, services }));
    const client = createPeerClient({ clock: createSystemClock(), findPeerAddress: () => null });
    readOk(await client.readStatus(server.address));
    const stopped = server.stop();
    for (let turn = 0; turn < round % MAX_TURNS; turn += 1) await new Promise(setImmediate);
    if (round < (MAX_TURNS * REPEATS) / 2) await client.readStatus(server.address);
    client.close();
    await stopped;
  }
  t.pass();
});
