import { isIP } from 'node:net';
import { z } from 'zod';
import { DEFAULT_LIMITS } from '../../../../domain/configuration';
import { ServiceKind, SurvivalMode, WorkClass } from '../../../../domain/types';

/** Limit on names, so that they fit into log lines and table keys. */
const MAX_NAME_CHARACTERS = 64;

const nameSchema = z
  .string()
  .max(MAX_NAME_CHARACTERS)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'must be letters, digits, ".", "_" or "-"');

const namesSchema = z.array(nameSchema).refine((names) => new Set(names).size === names.length, {
  message: 'names one item twice',
});

const nonEmptyNamesSchema = namesSchema.min(1, 'must name at least one');

const keyDigestSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest: 64 lower-case hex characters');

/** Accepts only base URLs with an IP address: the data path does no name resolution. */
function isBaseUrl(text: string): boolean {
  const match = /^https?:\/\/(\[[^\]/]+\]|[^:/[\]]+)(?::(\d{1,5}))?$/.exec(text);
  if (match === null) {
    return false;
  }
  const host = (match[1] ?? '').replace(/^\[|\]$/g, '');
  return isIP(host) !== 0 && Number(match[2] ?? 80) <= 65_535;
}

const fractionSchema = z.number().min(0).max(1);
const countSchema = z.int().min(0);
const positiveCountSchema = z.int().min(1);

const placeSchema = z.strictObject({
  region: nameSchema,
  availability_zones: nonEmptyNamesSchema,
});

const serviceSchema = z.strictObject({
  kind: z.enum(ServiceKind),
  work_class: z.enum(WorkClass).optional(),
  model: z.string().min(1).optional(),
  model_version: z.string().default(''),
  adapter: z.string().default(''),
  idempotent: z.boolean().optional(),
  timeout_ms: positiveCountSchema.optional(),
  max_output_tokens: positiveCountSchema.optional(),
});

const backendServerSchema = z.strictObject({
  url: z.string().refine(isBaseUrl, 'must be http(s)://IP:PORT, by IP number and without a path'),
  region: nameSchema,
  availability_zone: nameSchema,
  services: nonEmptyNamesSchema,
  slots: positiveCountSchema,
  checks_fencing: z.boolean().default(false),
});

const workspaceSchema = z.strictObject({
  key_digests: z.array(keyDigestSchema).min(1, 'must hold at least one'),
  services: nonEmptyNamesSchema,
  places: nonEmptyNamesSchema,
  weight: z.number().positive().default(1),
});

const placementRuleSchema = z.strictObject({
  workspaces: namesSchema.default([]),
  services: namesSchema.default([]),
  places: nonEmptyNamesSchema,
});

const loadedModelSchema = z.strictObject({
  model: z.string().min(1),
  version: z.string().default(''),
  adapter: z.string().default(''),
});

const engineTargetSchema = z.strictObject({
  backend_servers: nonEmptyNamesSchema,
  models: z.array(loadedModelSchema),
  role: z.string().min(1).default('serve'),
});

const limitsSchema = z.strictObject({
  max_body_bytes: positiveCountSchema.default(DEFAULT_LIMITS.maxBodyBytes),
  max_queued_long: countSchema.default(DEFAULT_LIMITS.maxQueuedLong),
  lookup_reserve: fractionSchema.default(DEFAULT_LIMITS.lookupReserve),
  retry_budget: fractionSchema.default(DEFAULT_LIMITS.retryBudget),
  drain_ms: countSchema.default(DEFAULT_LIMITS.drainMs),
  answer_ttl_ms: countSchema.default(DEFAULT_LIMITS.answerTtlMs),
  detached_ms: countSchema.default(DEFAULT_LIMITS.detachedMs),
});

/** Schema of a merged configuration folder; unknown keys are errors at every level. */
export const configurationSchema = z.strictObject({
  deployment: z.strictObject({ name: nameSchema, survival: z.enum(SurvivalMode) }),
  places: z.record(nameSchema, placeSchema),
  services: z.record(nameSchema, serviceSchema),
  backend_servers: z.record(nameSchema, backendServerSchema),
  workspaces: z.record(nameSchema, workspaceSchema),
  placement_rules: z.record(nameSchema, placementRuleSchema).default({}),
  engine_targets: z.record(nameSchema, engineTargetSchema).default({}),
  limits: limitsSchema.prefault({}),
});

/** A configuration folder as written, with each value validated by itself. */
export type ConfigurationDocument = z.output<typeof configurationSchema>;
