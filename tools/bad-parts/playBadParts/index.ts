import { setTimeout as wait } from 'node:timers/promises';
import { HEADERS } from '../../../platform';
import { countLateArrivals } from '../../../standins/crashes';
import {
  buildWireConfiguration,
  type ReceivedRequest,
  type StandInServer,
} from '../../../standins/gateway';
import { sendPrompt } from '../../_lib/sendPrompt';
import { startProcessFleet } from '../../_lib/startProcessFleet';
import { startZoneLosses } from '../../_lib/startZoneLosses';

/** Prompt parts that crash servers, and the streams beside them. */
export interface BadPartPlay {
  readonly folder: string;
  /** Number of gateways. */
  readonly vms: number;
  readonly servers: number;
  /** Time for which callers send streams. */
  readonly seconds: number;
  /** Number of bad parts. */
  readonly parts: number;
  /** Share of the runs with a bad part that crash their server, from 0 to 1. */
  readonly crashShare: number;
  /** Streams with each bad part, and sound ones, that callers send a second. */
  readonly badPerS: number;
  readonly soundPerS: number;
  /** Events that a run sends before it crashes its server. */
  readonly eventsBeforeCrash: number;
  /** Time between two restarts of gateways, which are killed; 0 for none. */
  readonly restartEveryS: number;
  /** Share of the gateways that are killed at a time, by turns; from 0 to 1. */
  readonly restartShare: number;
  /** Time between two losses of most servers of one availability zone; 0 for none. */
  readonly zoneLossEveryS: number;
}

/** What became of a bad part. */
interface PartResult {
  readonly crashes: number;
  /** Attempts that began long after its fifth crash. */
  readonly later: number;
}

/** What became of the streams. */
export interface BadPartPlayResult {
  readonly parts: readonly PartResult[];
  readonly soundSent: number;
  readonly soundServed: number;
}

const FIRST_PART = 'f157';
const SOUND_PARTS = 7;

/** Time from a request to the head of its response, and from there to the first event. */
const PREFILL_MS = 150;
const FIRST_EVENT_MS = 60;
const EVENT_MS = 42;
const EVENTS = 50;

const SETTLE_MS = 4000;
const SOUND_LEAD_MS = 2000;
const DEADLINE_MS = 25_000;
const MAX_ATTEMPTS = 5;
const BODY_BYTES = 5000;

const buildConfiguration = (): object => {
  const { routes } = buildWireConfiguration() as { routes: readonly object[] };
  return buildWireConfiguration({
    routes: routes.map((route) => ({
      ...route,
      timeout_ms: DEADLINE_MS,
      max_attempts: MAX_ATTEMPTS,
    })),
  });
};

/** Sends a stream like no other; resolves with true if its answer is complete. */
const sendStream = (port: number, id: string, part: string): Promise<boolean> =>
  sendPrompt({
    port,
    path: '/stream/x',
    method: 'POST',
    id: `stream-${id}`,
    deadlineMs: DEADLINE_MS,
    promptPrefix: `${FIRST_PART}:200,${part}:400,${id}:4400`,
    body: id.padEnd(BODY_BYTES, 'x'),
  });

/** Plays bad parts against gateway processes. */
export const playBadParts = async (play: BadPartPlay): Promise<BadPartPlayResult> => {
  const badParts = Array.from({ length: play.parts }, (_, index) => `bad${index}`);
  const arrivedAtMs = new Map<string, number[]>(badParts.map((part) => [part, []]));
  const crashedAtMs = new Map<string, number[]>(badParts.map((part) => [part, []]));
  let crashServer: (server: StandInServer) => void = () => undefined;

  const answer = async (server: StandInServer, request: ReceivedRequest): Promise<void> => {
    const prefix = String(request.headers[HEADERS.promptPrefix] ?? '');
    const bad = badParts.find((part) => prefix.includes(`${part}:`));
    if (bad !== undefined) arrivedAtMs.get(bad)?.push(performance.now());
    const isCrashing = bad !== undefined && Math.random() < play.crashShare;
    await wait(PREFILL_MS);
    if (request.socket.destroyed) return;
    server.startStream(request);
    await wait(FIRST_EVENT_MS);
    const sentBefore = Number(request.headers['last-event-id'] ?? 0);
    const events = isCrashing ? play.eventsBeforeCrash : EVENTS - sentBefore;
    for (let event = 1; event <= events && !request.response.destroyed; event += 1) {
      server.sendEvents(request, sentBefore + event, sentBefore + event);
      await wait(EVENT_MS);
    }
    if (request.response.destroyed) return;
    if (isCrashing && bad !== undefined) {
      crashedAtMs.get(bad)?.push(performance.now());
      crashServer(server);
    } else request.response.end();
  };

  const fleet = await startProcessFleet({
    vms: play.vms,
    folder: play.folder,
    servers: { s: play.servers },
    configuration: buildConfiguration(),
    serve: (server, request) => {
      answer(server, request);
    },
    writesLogs: true,
  });
  ({ crashServer } = fleet);
  await wait(SETTLE_MS);
  const endMs = performance.now() + play.seconds * 1000;
  let sent = 0;
  const sendAtRate = async (
    perS: number,
    pickPart: (index: number) => string,
  ): Promise<readonly boolean[]> => {
    const answers: Promise<boolean>[] = [];
    while (performance.now() < endMs) {
      const port = fleet.callerPorts[sent % play.vms] as number;
      sent += 1;
      answers.push(sendStream(port, sent.toString(16).padStart(8, '0'), pickPart(answers.length)));
      await wait((-Math.log(1 - Math.random()) / perS) * 1000);
    }
    return Promise.all(answers);
  };
  const sendBad = async (part: string): Promise<void> => {
    await wait(SOUND_LEAD_MS);
    await sendAtRate(play.badPerS, () => part);
  };
  const restartGateways = async (): Promise<void> => {
    const groups = Math.max(1, Math.round(1 / play.restartShare));
    for (let turn = 0; play.restartEveryS > 0; turn += 1) {
      await wait(play.restartEveryS * 1000);
      if (performance.now() >= endMs) return;
      await fleet.restartGateways((index) => index % groups === turn % groups);
    }
  };
  const stopZoneLosses =
    play.zoneLossEveryS > 0 ? startZoneLosses(fleet, play.zoneLossEveryS * 1000) : null;
  const [sound] = await Promise.all([
    sendAtRate(play.soundPerS, (index) => `50d${index % SOUND_PARTS}`),
    ...badParts.map(sendBad),
    restartGateways(),
  ]);
  stopZoneLosses?.();
  await fleet.stop();
  return {
    parts: badParts.map((part) => {
      const crashes = crashedAtMs.get(part) ?? [];
      return {
        crashes: crashes.length,
        later: countLateArrivals(crashes, arrivedAtMs.get(part) ?? []),
      };
    }),
    soundSent: sound.length,
    soundServed: sound.filter(Boolean).length,
  };
};
