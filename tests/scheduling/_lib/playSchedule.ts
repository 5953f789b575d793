import { createStreamScheduler, type ScheduleRequest } from '../../../src/application/scheduling';
import type { ScheduleDecision, StreamDemand } from '../../../src/domain/scheduling';
import {
  buildServerStatus,
  createFakeClock,
  createFixedPaces,
  createSeededRandomness,
  QUIET_LOG,
} from '../../../standins/fakes';
import { createSimulatedEngine } from '../../../standins/model/createSimulatedEngine';
import type { PlayedKind, PlayedLoad, PlayedResult, PlayedStream } from './types';

const VMS = 40;
const PROMPT_TOKENS = 8200;
const OUTPUT_TOKENS = 910;
const EVENTS = 152;
const DEADLINE_MS = 25_000;
const RENEWAL_MS = 500;
const MESSAGE_MS = 2;
const STEP_MS = 10;
const ZONES = 3;

/** Pace of the simulated engines. */
const PACE = { prefillMsPerToken: 1 / 6.5, decodeMsPerToken: 35 / 6, callMs: 0, workFactor: 1 };

/** Plays a load on the real scheduler with simulated engines, in virtual time. */
export const playSchedule = async (load: PlayedLoad): Promise<PlayedResult> => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(load.seed);
  const ids = Array.from({ length: load.engines }, (_, index) => `e-${index}`);
  const engines = new Map(ids.map((id) => [id, createSimulatedEngine(clock)]));
  const decisionMs: number[] = [];
  const streams: PlayedStream[] = [];
  const waiting = new Map<string, (decision: ScheduleDecision) => void>();
  const suspectedUntilMs = new Map<string, number>();
  const statuses = ids.map((id, index) => {
    const status = buildServerStatus(id, `z${index % ZONES}`);
    return { ...status, entry: { ...status.entry, slots: 12 } };
  });

  const scheduler = createStreamScheduler({
    service: 's',
    clock,
    log: QUIET_LOG,
    randomness,
    directory: {
      listServing: () => statuses,
      isHealthy: (id) => clock.readMonotonicMs() >= (suspectedUntilMs.get(id) ?? 0),
      isRateLimited: () => false,
      recordSuspicion: (id) => suspectedUntilMs.set(id, clock.readMonotonicMs() + 500),
      recordStartTime: () => undefined,
      recordLeaving: () => undefined,
    },
    readReport: async ({ id }) => engines.get(id)?.readReport() ?? null,
    paces: createFixedPaces(PACE),
    deliverDecision: async (_, { decision }) => {
      const decide = waiting.get(decision.ticket);
      decide?.(decision);
      return decide !== undefined;
    },
    meter: { recordDecision: () => undefined },
  });

  const tell = (index: number, change: Partial<ScheduleRequest>): readonly ScheduleDecision[] => {
    const beganAt = process.hrtime.bigint();
    const { decisions } = scheduler.handleRequest({
      sender: {
        vm: `vm-${index}`,
        address: `vm-${index}:1`,
        availabilityZone: `z${index % ZONES}`,
      },
      service: 's',
      demands: [],
      cancelledTickets: [],
      startedRuns: [],
      endedRuns: [],
      ...change,
    });
    if (change.demands?.some(({ waitedMs }) => waitedMs <= MESSAGE_MS))
      decisionMs.push(Number(process.hrtime.bigint() - beganAt) / 1e6);
    return decisions;
  };

  const startCaller = (kind: PlayedKind): void => {
    const calledAtMs = clock.readMonotonicMs();
    const vm = Math.floor(randomness.readFraction() * VMS);
    const deadlineMs = DEADLINE_MS * (1 - 0.1 * randomness.readFraction());
    const stream: PlayedStream = {
      kind: kind.name,
      workspace: kind.chooseWorkspace(randomness.readFraction()),
      calledAtMs,
      firstEventMs: null,
      endedMs: null,
      refusedAfterMs: null,
      refusals: 0,
    };
    streams.push(stream);
    const readSinceMs = (): number => clock.readMonotonicMs() - calledAtMs;

    const ask = (attempt: number, isResumed: boolean, eventsDone: number): void => {
      const askedAtMs = clock.readMonotonicMs();
      const ticket = `${streams.length}-${askedAtMs}-${randomness.readHex(8)}`;
      const buildDemand = (): StreamDemand => ({
        ticket,
        requestClass: { priority: kind.priority, routePriority: kind.priority },
        workspace: stream.workspace,
        promptTokens: PROMPT_TOKENS,
        outputTokens: OUTPUT_TOKENS,
        waitedMs: clock.readMonotonicMs() - askedAtMs,
        goalLeftMs: kind.goalMs - readSinceMs(),
        leftMs: deadlineMs - readSinceMs(),
        isReturning: attempt > 1,
        isResumed,
        availabilityZone: `z${vm % ZONES}`,
        needsBackup: false,
        excludedServers: [],
        versions: [],
      });

      const run = (server: string): void => {
        const startedAtMs = clock.readMonotonicMs();
        let events = eventsDone;
        let isOver = false;
        const engine = engines.get(server);
        const end = (isComplete: boolean): void => {
          if (isOver) return;
          isOver = true;
          tell(vm, {
            endedRuns: [
              {
                server,
                kvTokens: PROMPT_TOKENS + OUTPUT_TOKENS,
                backup: null,
                ranMs: clock.readMonotonicMs() - startedAtMs,
                samples: [],
              },
            ],
          });
          if (isComplete) stream.endedMs = readSinceMs();
          else if (readSinceMs() < deadlineMs) ask(attempt, true, events);
        };
        if (!engine?.isUp()) {
          clock.startTimer(MESSAGE_MS, () => end(false));
          return;
        }
        engine.start({
          id: ticket,
          promptTokens: PROMPT_TOKENS,
          reservedTokens: PROMPT_TOKENS + OUTPUT_TOKENS,
          events: EVENTS - eventsDone,
          handleEvent: () => {
            events += 1;
            stream.firstEventMs ??= readSinceMs();
          },
          handleEnd: (isComplete) => clock.startTimer(MESSAGE_MS, () => end(isComplete)),
        });
        clock.startTimer(deadlineMs - readSinceMs(), () => {
          if (isOver) return;
          engine.cancel(ticket);
          end(false);
        });
      };

      const handleDecision = (decision: ScheduleDecision): void => {
        if (decision.kind === 'wait') return;
        waiting.delete(ticket);
        if (decision.kind === 'send') {
          clock.startTimer(MESSAGE_MS, () => run(decision.server));
          return;
        }
        stream.refusals += 1;
        stream.refusedAfterMs = clock.readMonotonicMs() - askedAtMs;
        if (attempt === 1 && decision.returnMs > 0)
          clock.startTimer(decision.returnMs, () => ask(attempt + 1, false, 0));
      };
      const send = (): void => {
        if (!waiting.has(ticket)) return;
        if (readSinceMs() >= deadlineMs) {
          waiting.delete(ticket);
          tell(vm, { cancelledTickets: [ticket] });
          return;
        }
        tell(vm, { demands: [buildDemand()] }).forEach(handleDecision);
        clock.startTimer(RENEWAL_MS, send);
      };
      waiting.set(ticket, handleDecision);
      clock.startTimer(MESSAGE_MS, send);
    };
    ask(1, false, 0);
  };

  for (let second = 0; second < load.seconds; second += 1) {
    load.kinds.forEach((kind) => {
      const expected = kind.perS(second);
      const count = Math.floor(expected) + Number(randomness.readFraction() < expected % 1);
      for (let index = 0; index < count; index += 1)
        clock.startTimer((second + randomness.readFraction()) * 1000, () => startCaller(kind));
    });
  }
  const { outage } = load;
  if (outage) {
    const lost = ids.slice(0, outage.count).map((id) => engines.get(id));
    clock.startTimer(outage.fromS * 1000, () => lost.forEach((engine) => engine?.crash()));
    clock.startTimer(outage.untilS * 1000, () => lost.forEach((engine) => engine?.recover()));
  }
  const totalMs = load.seconds * 1000 + DEADLINE_MS;
  for (let atMs = 0; atMs < totalMs; atMs += STEP_MS) {
    clock.advance(STEP_MS);
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }
  scheduler.stop();
  const prefilledTokens = [...engines.values()].reduce(
    (sum, engine) => sum + engine.countPrefilledTokens(),
    0,
  );
  return { streams, prefilledTokens, decisionMs };
};
