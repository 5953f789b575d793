import type { Randomness } from '../../../../../src/application/ports';
import { PREFIX_CUT_CHARACTERS } from '../../../../../src/domain/routing';
import type { Arrival, DeploymentShape, Phase } from '../../types';
import { LOOKUP_TOKENS, MEAN_LONG_TOKENS } from '../findDeploymentShape';

/** Shares of ten workspaces, a few of them large, in the offered work. */
export const WORKSPACE_SHARES = [
  0.28, 0.2, 0.14, 0.08, 0.06, 0.06, 0.06, 0.05, 0.04, 0.03,
] as const;

/** Share of the lookup servers' slots that lookups use on average, in every phase. */
const LOOKUP_LOAD = 0.6;

/** Number of prompt prefixes that a workspace's documents share. */
const TEMPLATES = 3;

/** Share of a prefill that remains on average when the shared prefix is mostly cached. */
const MEAN_PREFILL_SHARE = 0.35;

const SHARED_CUTS = 8;
const MS_PER_SECOND = 1000;

/** Lists the names of the bench's workspaces. */
export function listWorkspaces(): readonly string[] {
  return WORKSPACE_SHARES.map((_, index) => `workspace-${index + 1}`);
}

/** Computes how many long requests per second the slots for long work can serve. */
export function computeLongCapacity({ long }: DeploymentShape, lookupReserve: number): number {
  const slots = long.slots - Math.ceil(long.slots * lookupReserve);
  const holdMs = long.firstTokenMs * MEAN_PREFILL_SHARE + long.gapMs * (MEAN_LONG_TOKENS - 1);
  return (long.count * slots * MS_PER_SECOND) / holdMs;
}

function computeLookupRate({ lookup }: DeploymentShape): number {
  const holdMs = lookup.firstTokenMs + lookup.gapMs * (LOOKUP_TOKENS - 1);
  return (LOOKUP_LOAD * lookup.count * lookup.slots * MS_PER_SECOND) / holdMs;
}

function chooseWorkspace(randomness: Randomness): number {
  let rest = randomness.readFraction();
  const index = WORKSPACE_SHARES.findIndex((share) => {
    rest -= share;
    return rest < 0;
  });
  return Math.max(0, index);
}

function computeLengthFactor(workspace: number): number {
  return 0.7 + 0.06 * workspace;
}

/** Normalizes the lengths, so that their mean is the one used for the capacity. */
const MEAN_LENGTH_FACTOR = WORKSPACE_SHARES.reduce<number>(
  (sum, share, workspace) => sum + share * computeLengthFactor(workspace),
  0,
);

/** Draws an output length around the workspace's typical length, with a long tail. */
function drawOutputTokens(workspace: number, randomness: Randomness): number {
  const usual = (MEAN_LONG_TOKENS * computeLengthFactor(workspace)) / MEAN_LENGTH_FACTOR;
  const tail = -Math.log(1 - randomness.readFraction()) * 0.35;
  return Math.max(4, Math.round(usual * (0.65 + tail)));
}

/**
 * Plans the open-loop Poisson arrivals of a phase, which are the same for each policy.
 *
 * @param seconds - length of the phase
 */
export function planArrivals(
  shape: DeploymentShape,
  phase: Phase,
  options: { readonly seconds: number; readonly lookupReserve: number },
  randomness: Randomness,
): readonly Arrival[] {
  const entries = shape.zones.length * shape.entriesPerZone;
  const plan = (isLong: boolean, rate: number): readonly Arrival[] => {
    const arrivals: Arrival[] = [];
    const readGap = (): number =>
      (-Math.log(1 - randomness.readFraction()) * MS_PER_SECOND) / Math.max(rate, 1e-9);
    for (let atMs = readGap(); atMs < options.seconds * MS_PER_SECOND; atMs += readGap()) {
      const workspace = chooseWorkspace(randomness);
      const template = Math.floor(randomness.readFraction() * TEMPLATES);
      const shared = `${workspace}.${template} `.repeat(SHARED_CUTS * PREFIX_CUT_CHARACTERS);
      const id = randomness.readHex(6);
      const tail = id.repeat(20);
      arrivals.push({
        id,
        atMs,
        workspace: listWorkspaces()[workspace] ?? '',
        service: isLong ? shape.longService : shape.lookupService,
        isLong,
        entry: Math.floor(randomness.readFraction() * entries),
        prompt: isLong ? shared.slice(0, SHARED_CUTS * PREFIX_CUT_CHARACTERS) + tail : tail,
        outputTokens: isLong ? drawOutputTokens(workspace, randomness) : LOOKUP_TOKENS,
      });
    }
    return arrivals;
  };
  const long = plan(true, phase.longLoad * computeLongCapacity(shape, options.lookupReserve));
  return [...long, ...plan(false, computeLookupRate(shape))].sort(
    (left, right) => left.atMs - right.atMs,
  );
}
