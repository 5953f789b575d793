import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { EventFields } from '../../../../src/application/ports';
import { createLogLines, type GatewayLine, type LogLines } from '../createLogLines';

/** Settings of a gateway process. */
export interface GatewayProcessOptions {
  readonly vm: string;
  readonly zone: string;
  /** Loopback address that no other process of the test uses. */
  readonly ip: string;
  /** Peer addresses of other gateways. */
  readonly seeds: readonly string[];
  readonly storeUrl: string;
  /** Time for which the address of a server that ended stays with its service; 0 by default. */
  readonly reuseAfterS?: number;
  /** Memory beyond which the platform would kill the process; not told by default. */
  readonly memoryMb?: number;
  /** False if the whole system ran before; true by default. */
  readonly isFirstStart?: boolean;
}

/** A gateway in a process of its own. */
export interface GatewayProcess extends Pick<LogLines, 'lines' | 'waitForLines'> {
  readonly vm: string;
  readonly callerUrl: string;
  readonly metricsUrl: string;
  /** Reads the highest memory that the process has taken so far, in MB. */
  readPeakMb(): Promise<number>;
  countDescriptors(): Promise<number>;
  isRunning(): boolean;
  /** Sends SIGTERM. */
  terminate(): void;
  /** Stops the process without ending it; its connections stay open. */
  freeze(): void;
  /** Lets a frozen process go on. */
  resume(): void;
  stop(): Promise<void>;
}

const KB_PER_MB = 1024;

const MAIN = 'src/programs/gateway/main.ts';

const PORTS = { caller: 8001, readiness: 8002, peer: 8003, metrics: 8004 } as const;

/** Builds the address at which other gateways reach a gateway process. */
export const buildPeerAddress = (ip: string): string => `${ip}:${PORTS.peer}`;

const formatSettings = ({
  ip,
  isFirstStart = true,
  memoryMb,
  reuseAfterS = 0,
  seeds,
  storeUrl,
  vm,
  zone,
}: GatewayProcessOptions): string =>
  [
    `node_name = "${vm}"`,
    `bootstrap = ${isFirstStart}`,
    `ip = "${ip}"`,
    `zone = "${zone}"`,
    `internal_ports = [${PORTS.peer}, ${PORTS.metrics}]`,
    `seeds = ${JSON.stringify(seeds)}`,
    `listen = { frontend = "${ip}:${PORTS.caller}", readiness = "${ip}:${PORTS.readiness}" }`,
    `platform = { address = "${new URL(storeUrl).host}" }`,
    `bounds = { retry_budget_ratio = 0.8, retry_budget_extra = 150, reuse_after_s = ${reuseAfterS} }`,
    ...(memoryMb === undefined ? [] : [`limits = { memory_mb = ${memoryMb} }`]),
  ].join('\n');

const parseLine = (text: string): GatewayLine => {
  try {
    const { context, message } = JSON.parse(text) as { context?: EventFields; message: string };
    return { ...context, message };
  } catch {
    return { message: text };
  }
};

/** Starts a gateway from its sources and resolves once it is ready. */
export const startGatewayProcess = async (
  options: GatewayProcessOptions,
): Promise<GatewayProcess> => {
  const folder = await mkdtemp(join(tmpdir(), 'jackdaw-'));
  const file = join(folder, 'boot.toml');
  await writeFile(file, formatSettings(options));
  const child = spawn(process.execPath, ['--import=tsx', MAIN, '--settings', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const killChild = (): void => {
    child.kill('SIGKILL');
  };
  process.once('exit', killChild);
  const { addLine, lines, waitForLines } = createLogLines(options.vm);
  [child.stdout, child.stderr].forEach((input) =>
    createInterface({ input }).on('line', (text) => addLine(parseLine(text))),
  );

  const isRunning = (): boolean => child.exitCode === null && child.signalCode === null;

  const stop = async (): Promise<void> => {
    process.off('exit', killChild);
    if (isRunning()) {
      killChild();
      await once(child, 'exit');
    }
    await rm(folder, { recursive: true, force: true });
  };

  try {
    await waitForLines('ready', (known) =>
      known.some(({ message }) => message === 'gateway ready'),
    );
  } catch (error) {
    await stop();
    throw error;
  }
  return {
    vm: options.vm,
    callerUrl: `http://${options.ip}:${PORTS.caller}`,
    metricsUrl: `http://${options.ip}:${PORTS.metrics}/metrics`,
    lines,
    waitForLines,
    readPeakMb: async () => {
      const status = await readFile(`/proc/${child.pid}/status`, 'utf8');
      return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]) / KB_PER_MB;
    },
    countDescriptors: async () => (await readdir(`/proc/${child.pid}/fd`)).length,
    isRunning,
    terminate: () => {
      child.kill('SIGTERM');
    },
    freeze: () => {
      child.kill('SIGSTOP');
    },
    resume: () => {
      child.kill('SIGCONT');
    },
    stop,
  };
};
