import { createPlatformDispatcher } from '../../../../../src/adapters/platform-http';
import { createSystemClock, createSystemRandomness } from '../../../../../src/adapters/system';
import {
  createDynamoTableStore,
  type DynamoTableSettings,
} from '../../../../../src/adapters/table';
import {
  applyConfiguration,
  listConfigurationRows,
  readNewestRow,
} from '../../../../../src/application/configuration';
import type { ConfigurationRow } from '../../../../../src/domain/configuration';
import type { Configuration } from '../../../../../src/domain/types';

/** An accepted apply. */
export interface AcceptedApply {
  readonly row: ConfigurationRow;
  /** When the apply returned to the operator, as `performance.now()`. */
  readonly atMs: number;
}

/** An operator who changes the weight of the workspace with the operator's name. */
export interface Operator {
  readonly name: string;
  /** Applies the first configuration. */
  applyFirst(configuration: Configuration): Promise<AcceptedApply | string>;
  /** Changes the newest version and applies it; resolves with the kind of error if refused. */
  applyChange(): Promise<AcceptedApply | string>;
  /** Repeats `applyChange` until it is accepted. */
  applyUntilAccepted(): Promise<AcceptedApply>;
  listHistory(limit: number): Promise<readonly ConfigurationRow[]>;
  /** Lists the accepted applies, oldest first. */
  listAccepted(): readonly AcceptedApply[];
  countConflicts(): number;
  close(): Promise<void>;
}

function updateWeight(configuration: Configuration, name: string, weight: number): Configuration {
  const workspaces = configuration.workspaces.map((workspace) =>
    workspace.name === name ? { ...workspace, weight } : workspace,
  );
  return { ...configuration, workspaces };
}

/** Creates an operator with separate connections to the table. */
export function createOperator(name: string, settings: DynamoTableSettings): Operator {
  const clock = createSystemClock();
  const randomness = createSystemRandomness();
  const dispatcher = createPlatformDispatcher();
  const table = createDynamoTableStore({ ...settings, deadlineMs: 1_000 }, { clock, dispatcher });
  const accepted: AcceptedApply[] = [];
  let weight = 1;
  let conflicts = 0;

  const apply = async (
    configuration: Configuration,
    expectedVersion: number,
  ): Promise<AcceptedApply | string> => {
    const applied = await applyConfiguration(
      { table, clock, randomness },
      { configuration, expectedVersion, appliedBy: name, comment: '' },
    );
    if (applied.isErr()) {
      conflicts += applied.error.kind === 'conflict' ? 1 : 0;
      return applied.error.kind;
    }
    const done = { row: applied.value, atMs: performance.now() };
    accepted.push(done);
    return done;
  };

  const applyChange = async (): Promise<AcceptedApply | string> => {
    const newest = await readNewestRow(table);
    if (newest.isErr()) {
      return newest.error.kind;
    }
    if (newest.value === null) {
      return 'nothing-yet';
    }
    weight += 1;
    const changed = updateWeight(newest.value.configuration, name, weight);
    return apply(changed, newest.value.version);
  };

  return {
    name,
    applyFirst: (configuration) => apply(configuration, 0),
    applyChange,
    applyUntilAccepted: async () => {
      for (;;) {
        const outcome = await applyChange();
        if (typeof outcome !== 'string') {
          return outcome;
        }
      }
    },
    listHistory: async (limit) => (await listConfigurationRows(table, limit)).unwrapOr([]),
    listAccepted: () => accepted,
    countConflicts: () => conflicts,
    close: () => dispatcher.destroy(),
  };
}
