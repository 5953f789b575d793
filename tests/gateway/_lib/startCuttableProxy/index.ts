import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { drawLoopbackHost } from '../../../../standins/_lib/drawLoopbackHost';

/**
 * What a cut does: to open connections and new ones, or, with `refuse-new`, to new ones only. With
 * `hold`, what was sent meanwhile arrives once the cut ends, as at a server that stood still.
 */
export type CutMode = 'hang' | 'hold' | 'refuse-new' | 'reset';

/** The link from one VM to one server. */
export interface CuttableProxy {
  /** IP:PORT under which the VM reaches the server. */
  readonly address: string;
  cut(mode: CutMode): Promise<void>;
  /** Ends the cut; connections that hung are reset, and those that were held go on. */
  restore(): Promise<void>;
  stop(): Promise<void>;
}

/** Starts a TCP proxy to a server whose connections can be cut. */
export const startCuttableProxy = async (target: string): Promise<CuttableProxy> => {
  const [targetHost, targetPort] = target.split(':');
  const host = drawLoopbackHost();
  const sockets = new Set<Socket>();
  /** Both ends of each open connection. */
  const pairs = new Set<readonly [Socket, Socket]>();
  let mode: CutMode | null = null;

  const track = (socket: Socket): void => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
  };

  const joinPair = ([incoming, outgoing]: readonly [Socket, Socket]): void => {
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
  };

  const pauseAll = (): void =>
    sockets.forEach((socket) => {
      socket.unpipe();
      socket.pause();
    });

  const server = createServer((incoming) => {
    track(incoming);
    if (mode === 'reset') incoming.resetAndDestroy();
    if (mode !== null && mode !== 'hold') return;
    const outgoing = connect(Number(targetPort), targetHost);
    track(outgoing);
    const pair = [incoming, outgoing] as const;
    pairs.add(pair);
    if (mode === null) joinPair(pair);
    incoming.on('close', () => {
      pairs.delete(pair);
      outgoing.destroy();
    });
    outgoing.on('close', () => incoming.destroy());
  });
  const listen = async (port: number): Promise<void> => {
    server.listen(port, host);
    await once(server, 'listening');
  };
  await listen(0);
  const { port } = server.address() as AddressInfo;

  const CUTS: Readonly<Record<CutMode, () => void>> = {
    hang: pauseAll,
    hold: pauseAll,
    'refuse-new': () => server.close(),
    reset: () => sockets.forEach((socket) => socket.resetAndDestroy()),
  };

  return {
    address: `${host}:${port}`,
    cut: async (next) => {
      mode = next;
      CUTS[next]();
    },
    restore: async () => {
      if (mode === 'hold') pairs.forEach(joinPair);
      else if (mode !== 'refuse-new') sockets.forEach((socket) => socket.resetAndDestroy());
      mode = null;
      if (!server.listening) await listen(port);
    },
    stop: async () => {
      if (server.listening) server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};
