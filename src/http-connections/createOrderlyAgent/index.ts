import { Agent, Pool } from 'undici';
import { createOrderlyClient } from '../createOrderlyClient';

/**
 * Creates an agent whose connections complete a response at their end only if they ended in order.
 *
 * @param options - options of undici's agent
 */
export const createOrderlyAgent = (options: Agent.Options): Agent =>
  new Agent({
    ...options,
    factory: (origin, poolOptions) =>
      new Pool(origin, { ...(poolOptions as Pool.Options), factory: createOrderlyClient }),
  });
