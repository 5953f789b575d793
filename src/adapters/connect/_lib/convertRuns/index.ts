import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { EndedRun, StartedRun } from '../../../../application/scheduling';
import type { PaceSample } from '../../../../domain/paces';
import {
  EndedRunSchema,
  PaceSampleSchema,
  type EndedRun as EndedRunMessage,
  type PaceSample as PaceSampleMessage,
  type StartedRun as StartedRunMessage,
} from '../../gen/gateway_pb';
import { roundCount } from '../roundCount';

type SampleInit = MessageInitShape<typeof PaceSampleSchema>;

const SAMPLE_BUILDERS: {
  readonly [Kind in PaceSample['kind']]: (
    sample: Extract<PaceSample, { kind: Kind }>,
  ) => SampleInit;
} = {
  prefill: ({ tokens, tookMs }) => ({
    work: { case: 'prefill', value: { tokens: roundCount(tokens), tookMs } },
  }),
  decode: ({ tokens, tookMs }) => ({
    work: { case: 'decode', value: { tokens: roundCount(tokens), tookMs } },
  }),
  call: ({ tookMs, workFactor }) => ({ work: { case: 'call', value: { tookMs, workFactor } } }),
};

const buildSample = <Kind extends PaceSample['kind']>(
  sample: Extract<PaceSample, { kind: Kind }>,
): SampleInit => SAMPLE_BUILDERS[sample.kind](sample);

const isDuration = (ms: number): boolean => Number.isFinite(ms) && ms >= 0;

const readSample = ({ work }: PaceSampleMessage): PaceSample | null => {
  if (work.case === undefined || !isDuration(work.value.tookMs)) return null;
  if (work.case !== 'call') {
    const { tokens, tookMs } = work.value;
    return { kind: work.case, tokens, tookMs };
  }
  const { tookMs, workFactor } = work.value;
  return isDuration(workFactor) && workFactor > 0 ? { kind: 'call', tookMs, workFactor } : null;
};

/** Converts an ended run to its protobuf message. */
export const buildEndedRunMessage = (run: EndedRun): EndedRunMessage =>
  create(EndedRunSchema, {
    server: run.server,
    kvTokens: roundCount(run.kvTokens),
    ...(run.backup === null ? {} : { backup: run.backup }),
    ranMs: roundCount(run.ranMs),
    samples: run.samples.map(buildSample),
  });

/** Converts a protobuf message to an ended run, without malformed samples; null without a server. */
export const readEndedRunMessage = (message: EndedRunMessage): EndedRun | null =>
  message.server === ''
    ? null
    : {
        server: message.server,
        kvTokens: message.kvTokens,
        backup: message.backup ?? null,
        ranMs: message.ranMs,
        samples: message.samples.map(readSample).filter((sample) => sample !== null),
      };

/** Converts a protobuf message to a started run; null without a server. */
export const readStartedRunMessage = ({
  kvTokens,
  server,
}: StartedRunMessage): StartedRun | null => (server === '' ? null : { server, kvTokens });
