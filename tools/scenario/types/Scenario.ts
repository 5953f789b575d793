import { z } from 'zod';

const name = z.string().min(1);
const when = z.string().default('');
const entry = z.string().default('entry-1');
const count = z.int().min(0);

const deployment = z
  .strictObject({
    zones: z.array(name).min(1).default(['zone-a']),
    entries: count.default(2),
    engines: count.default(2),
    keepers: count.default(0),
    /** Hosts of the plain service `billing`, whose calls run at most once. */
    billing: count.default(0),
    /** Hosts of the plain service `register`, whose calls may be repeated. */
    register: count.default(0),
    survival: z.enum(['latency', 'thrift']).default('latency'),
    first_token_ms: count.default(50),
    token_ms: count.default(10),
    slots: count.default(8),
    checks_fencing: z.boolean().default(true),
    /** Configuration that is merged over the configuration that the runner writes. */
    configuration: z.record(z.string(), z.unknown()).default({}),
  })
  .prefault({});

const target = { when, target: name };

const step = z.discriminatedUnion('do', [
  z.strictObject({
    do: z.literal('send'),
    when,
    name,
    entry,
    via: z.enum(['plain', 'unstreamed', 'client']).default('plain'),
    model: z.string().default('review'),
    tokens: count.default(100),
    key: z.string().default(''),
    idempotent: z.boolean().default(true),
    timeout_ms: count.default(0),
  }),
  z.strictObject({
    do: z.literal('return'),
    when,
    name,
    entry,
    /** What the caller sends in addition to its cursor; `forged` changes the last token. */
    gives: z.enum(['nothing', 'request', 'tokens', 'forged']).default('nothing'),
    /** Name of a second connection of the same caller, which is recorded separately. */
    as: z.string().default(''),
  }),
  z.strictObject({
    do: z.literal('call'),
    when,
    name,
    entry,
    service: z.string().default('billing'),
    key: z.string().default(''),
    idempotent: z.boolean().default(true),
  }),
  z.strictObject({ do: z.literal('abandon'), when, name }),
  z.strictObject({ do: z.literal('kill'), ...target }),
  z.strictObject({ do: z.literal('freeze'), ...target }),
  z.strictObject({ do: z.literal('thaw'), ...target }),
  z.strictObject({ do: z.literal('terminate'), ...target }),
  z.strictObject({ do: z.literal('start'), ...target }),
  z.strictObject({
    do: z.literal('fault'),
    ...target,
    /** Path under the stand-in's control interface, for example `table/faults`. */
    path: name,
    set: z.record(z.string(), z.unknown()).default({}),
  }),
  z.strictObject({
    do: z.literal('apply'),
    when,
    name,
    /** Configuration version that the operator's edit is based on. */
    expect_version: count.default(1),
    /** Configuration that is merged over the configuration that the runner wrote. */
    set: z.record(z.string(), z.unknown()).default({}),
  }),
  z.strictObject({ do: z.literal('wait'), when: name }),
]);

const of = name;

const expectation = z.discriminatedUnion('that', [
  z.strictObject({ that: z.literal('whole'), of, tokens: count.default(100) }),
  z.strictObject({ that: z.literal('same'), of: z.array(name).min(2) }),
  z.strictObject({
    that: z.literal('failed'),
    of,
    code: z.string().default(''),
    run_state: z.string().default(''),
    retry_after: z.boolean().default(false),
    within_ms: count.default(0),
  }),
  z.strictObject({
    that: z.literal('answered'),
    of,
    run_state: z.string().default(''),
    /** Text that the answer must contain, for example the name of the call. */
    contains: z.string().default(''),
  }),
  z.strictObject({
    that: z.literal('decisions'),
    kind: name,
    of: z.string().default(''),
    at_least: count.default(0),
    at_most: count.default(1_000_000),
  }),
  z.strictObject({ that: z.literal('served'), of, in: z.array(name).min(1) }),
  z.strictObject({ that: z.literal('runs'), of, at_least: count, at_most: count }),
  z.strictObject({ that: z.literal('loaded'), of, is: z.array(name) }),
  z.strictObject({ that: z.literal('exit'), of, is: z.string() }),
  z.strictObject({ that: z.literal('wins'), of: z.array(name).min(2), is: count }),
  z.strictObject({ that: z.literal('version'), of: z.array(name).min(1), is: count }),
]);

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  timeout_ms: count.default(30_000),
  deployment,
  step: z.array(step).min(1),
  expect: z.array(expectation).min(1),
});

/** A scenario: a deployment, steps that wait for conditions, and expectations at the end. */
export type Scenario = z.output<typeof scenarioSchema>;

/** One step of a scenario. */
export type Step = Scenario['step'][number];

/** One expectation, checked after all steps. */
export type Expectation = Scenario['expect'][number];

/** A scenario with the name of its file. */
export interface ScenarioFile {
  readonly name: string;
  readonly scenario: Scenario;
}
