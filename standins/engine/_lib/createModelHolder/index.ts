import { request } from 'undici';
import type { Clock } from '../../../../src/application/ports';
import type { LoadedModel } from '../../../../src/domain/types';
import type { EngineSettings, StreamStart } from '../../types';

/** An order as it arrives. */
export interface ReceivedOrder {
  readonly fencing_token: number;
  readonly models: readonly LoadedModel[];
  readonly role: string;
}

/** The models that an engine holds. */
export interface ModelHolder {
  has(start: Pick<StreamStart, 'model' | 'adapter'>): boolean;
  listModels(): readonly LoadedModel[];
  readRole(): string;
  readFencingToken(): number;
  /** Takes an order; false if its fencing token is old and the engine checks. */
  applyOrder(order: ReceivedOrder): boolean;
  /** A new process: what was loaded at its start, and no memory of orders. */
  clear(): void;
}

const isSame = (one: LoadedModel, other: LoadedModel): boolean =>
  one.model === other.model && one.version === other.version && one.adapter === other.adapter;

const MS_PER_SECOND = 1000;

/** Creates a holder that fetches the weights of each new model from the weight store. */
export function createModelHolder(settings: EngineSettings, clock: Clock): ModelHolder {
  let held = settings.models;
  let wanted = settings.models;
  let { role } = settings;
  let fencingToken = 0;

  const wait = (delayMs: number) =>
    new Promise<void>((resolve) => {
      clock.startTimer(delayMs, resolve);
    });
  const readWeights = async ({ model, version }: LoadedModel): Promise<boolean> => {
    if (settings.weightStoreUrl === '') return true;
    const url = `${settings.weightStoreUrl}/weights/${model}/${version}`;
    const answer = await request(url).catch(() => null);
    await answer?.body.dump();
    if (answer?.statusCode === 200) return true;
    await wait(Number(answer?.headers['retry-after'] ?? 1) * MS_PER_SECOND);
    return false;
  };
  const load = async (model: LoadedModel): Promise<void> => {
    const isWanted = () => wanted.some((other) => isSame(other, model));
    let loaded = false;
    while (isWanted() && !loaded) loaded = await readWeights(model);
    const isHeld = held.some((other) => isSame(other, model));
    if (isWanted() && !isHeld) held = [...held, model];
  };

  return {
    has: ({ model, adapter }) =>
      held.some((other) => other.model === model && (adapter === '' || other.adapter === adapter)),
    listModels: () => held,
    readRole: () => role,
    readFencingToken: () => fencingToken,
    applyOrder: (order) => {
      if (settings.checksFencing && order.fencing_token < fencingToken) return false;
      fencingToken = Math.max(fencingToken, order.fencing_token);
      const known = wanted;
      wanted = order.models;
      role = order.role;
      held = held.filter((model) => wanted.some((other) => isSame(other, model)));
      const added = wanted.filter((model) => !known.some((other) => isSame(other, model)));
      added.forEach(load);
      return true;
    },
    clear: () => {
      held = settings.models;
      wanted = settings.models;
      role = settings.role;
      fencingToken = 0;
    },
  };
}
