import { createS3ObjectStore } from '../../../../adapters/objects';
import { createPlatformDispatcher } from '../../../../adapters/platform-http';
import { createDynamoTableStore } from '../../../../adapters/table';
import { createHttpVmList } from '../../../../adapters/vm-list';
import {
  createResilientObjectStore,
  createResilientTableStore,
  OBJECT_POLICY,
  TABLE_POLICY,
} from '../../../../application/store';
import type { OperationRunnerDependencies } from '../../../../application/store';
import type { EntrySettings } from '../../types';

/** Wires the clients of the platform. They fail fast, so that no request waits for a dead store. */
export const wireStores = (settings: EntrySettings, guard: OperationRunnerDependencies) => {
  const dispatcher = createPlatformDispatcher();
  const dependencies = { clock: guard.clock, dispatcher };
  return {
    tableStore: createResilientTableStore(
      createDynamoTableStore(settings.table, dependencies),
      TABLE_POLICY,
      guard,
    ),
    objectStore: createResilientObjectStore(
      createS3ObjectStore(settings.objects, dependencies),
      OBJECT_POLICY,
      guard,
    ),
    vmList: createHttpVmList(settings.vmList, dependencies),
    stop: (): Promise<void> => dispatcher.destroy(),
  };
};
