import type { Child, EventNotifier } from '../../types';

/** Where a process listens. */
export interface ListenAddresses {
  /** Base URL for callers, for other backend servers or of the control interface. */
  readonly url: string;
  /** `ip:port` for peers; empty for stand-ins. */
  readonly peerAddress: string;
  /** Ports as a stand-in names them. */
  readonly ports: Readonly<Record<string, number>>;
}

interface StartLine {
  readonly context?: {
    readonly callers?: string;
    readonly monitor?: string;
    readonly peerAddress?: string;
  };
  readonly message?: string;
  readonly port?: number;
  readonly control?: number;
}

const HOST = 'http://127.0.0.1';

const parseStartLine = (line: string): ListenAddresses | null => {
  let value: StartLine;
  try {
    value = JSON.parse(line) as StartLine;
  } catch {
    return null;
  }
  const { context, control, message, port } = value;
  if (message?.endsWith('started')) {
    const url = context?.callers ?? context?.monitor ?? '';
    return { url, peerAddress: context?.peerAddress ?? '', ports: {} };
  }
  const main = port ?? control;
  if (main === undefined) return null;
  const ports = value as unknown as Readonly<Record<string, number>>;
  return { url: `${HOST}:${main}`, peerAddress: '', ports };
};

/**
 * Waits for the line in which a process says that it listens.
 *
 * @throws Error when the process ends before that
 */
export async function waitUntilListening(
  child: Child,
  board: EventNotifier,
): Promise<ListenAddresses> {
  const found = await board.waitFor<ListenAddresses | 'ended'>(() => {
    const listening = child.lines.map(parseStartLine).find((value) => value !== null);
    if (listening) return listening;
    return child.readExitStatus() === null ? null : 'ended';
  });
  if (found === 'ended') {
    throw new Error(`${child.name} ended while it started: ${child.lines.slice(-3).join(' ')}`);
  }
  return found;
}
