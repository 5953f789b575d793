import { createFaultyServer, type FaultyServer } from '../../http';
import { createStandInObjects, type StandInObjects } from '../../objects';
import { createStandInTable, type StandInTable } from '../../table';
import { createStandInVmList, type StandInVmList } from '../../vm-list';
import { createControlApp } from '../_lib/createControlApp';

/** All stand-ins of the platform, and their control interface. */
export interface StandInPlatform {
  readonly table: StandInTable;
  readonly objects: StandInObjects;
  readonly vmList: StandInVmList;
  /** Control interface, which has no faults itself. */
  readonly control: FaultyServer;
  close(): Promise<void>;
}

/** Creates table, object store, VM list and the control interface, each on a free port. */
export async function createStandInPlatform(): Promise<StandInPlatform> {
  const [table, objects, vmList] = await Promise.all([
    createStandInTable(),
    createStandInObjects(),
    createStandInVmList(),
  ]);
  const control = await createFaultyServer(
    createControlApp({ table, objects, vmList }),
    () => false,
  );
  const close = async (): Promise<void> => {
    await Promise.all([table, objects, vmList, control].map((server) => server.close()));
  };
  return { table, objects, vmList, control, close };
}
