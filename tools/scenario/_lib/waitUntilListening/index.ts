import type { Child, EventNotifier } from '../../types';

/** Addresses that a process listens on. */
export interface ListenAddresses {
  /** Base URL for callers, for other backend servers or of the control interface. */
  readonly url: string;
  /** `ip:port` for peers; empty for stand-ins. */
  readonly peerAddress: string;
  /** Ports of a stand-in by the names in its start line. */
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
 * Waits for the line in which a process logs the addresses that it listens on.
 *
 * @throws Error if the process ends before it listens
 */
export async function waitUntilListening(
  child: Child,
  notifier: EventNotifier,
): Promise<ListenAddresses> {
  const found = await notifier.waitFor<ListenAddresses | 'ended'>(() => {
    const listening = child.lines.map(parseStartLine).find((value) => value !== null);
    if (listening) return listening;
    return child.readExitStatus() === null ? null : 'ended';
  });
  if (found === 'ended') {
    throw new Error(`${child.name} exited during startup: ${child.lines.slice(-3).join(' ')}`);
  }
  return found;
}
