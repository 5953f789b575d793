import { createServer, connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { createPeerClient, startPeerServer } from '../../../../src/adapters/connect';
import { createSystemClock } from '../../../../src/adapters/system';
import type { News } from '../../../../src/domain/membership';

/** Bytes on the wire of one exchange, excluding the news itself. */
export interface ExchangeOverhead {
  readonly requestBytes: number;
  readonly answerBytes: number;
}

const EXCHANGES = 500;
const TIMEOUT_MS = 5_000;

/** News whose protobuf form is a few bytes long. */
const NEWS: News = {
  sender: {
    vm: 'e',
    peerAddress: '',
    region: '',
    availabilityZone: '',
    leaving: false,
    incarnation: 0,
  },
  beats: 0,
  sequence: 0,
  since: 0,
  acknowledged: 0,
  configurationVersion: 0,
  newestReadAgeMs: null,
  clockMs: 0,
  echoClockMs: 0,
  brief: false,
  facts: [],
};
const NEWS_BYTES = 7;

/** Measures the overhead on loopback with a byte-counting proxy, over many exchanges. */
export async function measureExchangeOverhead(): Promise<ExchangeOverhead> {
  const services = {
    handleNews: () => NEWS,
    generations: null,
    decisions: { listDecisions: () => [] },
    readEncoded: () => null,
    readStatus: () => null,
    drain: () => 0,
  };
  const started = await startPeerServer({ host: '127.0.0.1', port: 0, services });
  if (started.isErr()) throw new Error(started.error.reason);
  const [host = '', port = ''] = started.value.address.split(':');
  const sockets: Socket[] = [];
  const relay = createServer((socket) => {
    const onward = connect(Number(port), host);
    socket.pipe(onward).pipe(socket);
    sockets.push(socket);
  });
  await new Promise<void>((resolve) => {
    relay.listen(0, '127.0.0.1', resolve);
  });
  const { port: relayPort } = relay.address() as AddressInfo;
  const client = createPeerClient({ clock: createSystemClock(), findPeerAddress: () => null });
  for (let count = 0; count < EXCHANGES; count += 1) {
    const answer = await client.sendNews(`127.0.0.1:${relayPort}`, NEWS, { timeoutMs: TIMEOUT_MS });
    if (answer.isErr()) throw new Error(answer.error.reason);
  }
  const sum = (read: (socket: Socket) => number): number =>
    sockets.reduce((total, socket) => total + read(socket), 0);
  const overhead = {
    requestBytes: Math.round(sum(({ bytesRead }) => bytesRead) / EXCHANGES) - NEWS_BYTES,
    answerBytes: Math.round(sum(({ bytesWritten }) => bytesWritten) / EXCHANGES) - NEWS_BYTES,
  };
  client.close();
  sockets.forEach((socket) => socket.destroy());
  await started.value.stop();
  relay.close();
  return overhead;
}
