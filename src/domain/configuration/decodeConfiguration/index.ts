import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { ServiceKind, SurvivalMode, WorkClass, type Configuration } from '../../types';
import { parseJson } from '../../json';
import { DEFAULT_LIMITS } from '../defaultLimits';

/** A stored configuration that cannot be decoded. */
export interface ConfigurationDecodeError {
  readonly kind: 'bad-configuration';
  readonly reason: string;
}

const names = z.array(z.string());

// The objects are not strict: during an upgrade, a newer operator tool may write keys that this
// process does not know, and the process must still apply the configuration.
const schema = z.object({
  deployment: z.string(),
  survival: z.enum(SurvivalMode),
  places: z.array(z.object({ name: z.string(), region: z.string(), availabilityZones: names })),
  services: z.array(
    z.object({
      name: z.string(),
      kind: z.enum(ServiceKind),
      workClass: z.enum(WorkClass),
      model: z.string(),
      modelVersion: z.string(),
      adapter: z.string(),
      idempotent: z.boolean(),
      timeoutMs: z.number(),
      maxOutputTokens: z.number(),
    }),
  ),
  backendServers: z.array(
    z.object({
      name: z.string(),
      url: z.string(),
      region: z.string(),
      availabilityZone: z.string(),
      services: names,
      slots: z.number(),
      checksFencing: z.boolean(),
    }),
  ),
  workspaces: z.array(
    z.object({
      name: z.string(),
      keyDigests: names,
      services: names,
      places: names,
      weight: z.number(),
    }),
  ),
  placementRules: z.array(
    z.object({ name: z.string(), workspaces: names, services: names, places: names }),
  ),
  engineTargets: z.array(
    z.object({
      backendServer: z.string(),
      models: z.array(z.object({ model: z.string(), version: z.string(), adapter: z.string() })),
      role: z.string(),
    }),
  ),
  limits: z.object({
    maxBodyBytes: z.number().default(DEFAULT_LIMITS.maxBodyBytes),
    maxQueuedLong: z.number().default(DEFAULT_LIMITS.maxQueuedLong),
    lookupReserve: z.number().default(DEFAULT_LIMITS.lookupReserve),
    retryBudget: z.number().default(DEFAULT_LIMITS.retryBudget),
    drainMs: z.number().default(DEFAULT_LIMITS.drainMs),
    answerTtlMs: z.number().default(DEFAULT_LIMITS.answerTtlMs),
    detachedMs: z.number().default(DEFAULT_LIMITS.detachedMs),
  }),
});

/**
 * Decodes a configuration that `encodeConfiguration` of this or a newer release wrote.
 *
 * @returns the configuration, or the invalid keys without their values
 */
export function decodeConfiguration(text: string): Result<Configuration, ConfigurationDecodeError> {
  const parsed = schema.safeParse(parseJson(text));
  if (parsed.success) {
    return ok(parsed.data);
  }
  const reason = parsed.error.issues
    .map((issue) => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ');
  return err({ kind: 'bad-configuration', reason });
}
