// Simulates many rollouts in virtual time, decided by the gateways' own code:
// `npx tsx tools/rollout-model/main.ts [count] [vms]`.
import { createSeededRandomness } from '../../standins/fakes';
import { simulateRollout, VersionTrait, type RolloutSimulation } from '../../standins/rollouts';

const [count = 200, vms = 9] = process.argv.slice(2).map(Number);

/** Half of the exposure that the operator tolerates, as a share of all requests. */
const MAX_TRIAL_SHARE = 0.05;
const MAX_EXTRA_TRIALS = 25;
const MAX_LATE_MS = 2000;

const drawModel = (seed: number): RolloutSimulation => {
  // Adjacent seeds give similar first numbers: spread the seeds and skip the first numbers.
  const { readFraction: draw } = createSeededRandomness(seed * 7919);
  for (let skipped = 0; skipped < 20; skipped += 1) draw();
  const traits = Object.values(VersionTrait);
  const fromMs = draw() * 8000;
  return {
    seed,
    vms,
    trait: traits[Math.floor(draw() * traits.length)] ?? VersionTrait.Good,
    requestsPerS: 80 + draw() * 150,
    durationMs: 10_000 + draw() * 20_000,
    failing: draw() * 0.15,
    judgeLostAtMs: draw() < 0.3 ? draw() * 9000 : null,
    restartAtMs: draw() < 0.2 ? draw() * 9000 : null,
    ...(draw() < 0.3 ? { storeAway: { fromMs, untilMs: fromMs + draw() * 5000 } } : {}),
  };
};

const counts = new Map<string, number>();
for (let seed = 1; seed <= count; seed += 1) {
  const model = drawModel(seed);
  const result = await simulateRollout(model);
  const { lateMs, requests, state, trials } = result;
  const name = `${model.trait === VersionTrait.Good ? 'good' : 'bad'} ${state ?? 'no status'}`;
  counts.set(name, (counts.get(name) ?? 0) + 1);
  const isBounded =
    trials <= MAX_TRIAL_SHARE * requests + MAX_EXTRA_TRIALS && lateMs <= MAX_LATE_MS;
  const isGoodNotCompleted = model.trait === VersionTrait.Good && state !== 'completed';
  if (isGoodNotCompleted) process.stdout.write(`${JSON.stringify({ ...model, ...result })}\n`);
  if (model.trait !== VersionTrait.Good && !isBounded) {
    counts.set('over the bound', (counts.get('over the bound') ?? 0) + 1);
    process.stdout.write(`${JSON.stringify({ ...model, ...result })}\n`);
  }
}
process.stdout.write(`${JSON.stringify(Object.fromEntries(counts))}\n`);
