import { create } from '@bufbuild/protobuf';
import type { PartTally } from '../../../../domain/crashes';
import { PartTallySchema, type PartTally as PartTallyMessage } from '../../gen/gateway_pb';
import { roundCount } from '../roundCount';

/** Converts the runs with and without a prompt part to their protobuf message. */
export const buildTallyMessage = ({ ageMs, part, runsByVm }: PartTally): PartTallyMessage => {
  const counts = [...runsByVm.values()];
  return create(PartTallySchema, {
    part,
    ageMs: Math.round(ageMs),
    vmIds: [...runsByVm.keys()],
    runs: counts.map(({ runs }) => runs),
    otherRuns: counts.map(({ otherRuns }) => otherRuns),
    runMs: counts.map(({ runMs }) => roundCount(runMs)),
    otherRunMs: counts.map(({ otherRunMs }) => roundCount(otherRunMs)),
  });
};

/** Converts the protobuf message back; a number that is missing counts as 0. */
export const readTallyMessage = ({
  ageMs,
  otherRunMs,
  otherRuns,
  part,
  runMs,
  runs,
  vmIds,
}: PartTallyMessage): PartTally => ({
  part,
  ageMs,
  runsByVm: new Map(
    vmIds.map((id, index) => [
      id,
      {
        runs: runs[index] ?? 0,
        otherRuns: otherRuns[index] ?? 0,
        runMs: runMs[index] ?? 0,
        otherRunMs: otherRunMs[index] ?? 0,
      },
    ]),
  ),
});
