import { userInfo } from 'node:os';
import type { Result } from 'neverthrow';
import { createPeerClient } from '../../../adapters/connect';
import { createPlatformDispatcher } from '../../../adapters/platform-http';
import { createSystemClock, createSystemRandomness } from '../../../adapters/system';
import { createDynamoTableStore } from '../../../adapters/table';
import type { ConfigurationProblem } from '../../../adapters/toml';
import { createHttpVmList } from '../../../adapters/vm-list';
import type { TargetVm } from '../../../application/configuration';
import type { VmList } from '../../../application/ports';
import { readOperatorSettings } from '../readOperatorSettings';
import type { OperatorPlatform, OperatorSettings } from '../types';

/** Deadline of a table operation, longer than that of a request on the data path. */
const TABLE_DEADLINE_MS = 3_000;

async function listEntryVms(
  vmList: VmList | null,
  addresses: readonly string[],
): Promise<readonly TargetVm[]> {
  const listed = vmList === null ? [] : (await vmList.listVms()).unwrapOr([]);
  const entries = listed.filter(({ peerAddress, leaving }) => peerAddress !== '' && !leaving);
  const known = new Set(entries.map(({ peerAddress }) => peerAddress));
  const others = addresses
    .filter((address) => !known.has(address))
    .map((address) => ({ vm: address, peerAddress: address }));
  return [...entries, ...others];
}

function buildPlatform(settings: OperatorSettings): OperatorPlatform {
  const clock = createSystemClock();
  const dispatcher = createPlatformDispatcher();
  const dependencies = { clock, dispatcher };
  const calls = createPeerClient({ clock, findPeerAddress: () => null });
  const vmList = settings.vmList === null ? null : createHttpVmList(settings.vmList, dependencies);
  return {
    operator: settings.operator ?? userInfo().username,
    table: createDynamoTableStore(
      { ...settings.table, deadlineMs: TABLE_DEADLINE_MS },
      dependencies,
    ),
    clock,
    randomness: createSystemRandomness(),
    calls,
    listEntryVms: () => listEntryVms(vmList, settings.peerAddresses),
    close: async () => {
      calls.close();
      await dispatcher.destroy();
    },
  };
}

/** Reads the settings and connects to the platform that they name. */
export async function openPlatform(
  settingsFile: string,
): Promise<Result<OperatorPlatform, readonly ConfigurationProblem[]>> {
  return (await readOperatorSettings(settingsFile, process.env)).map(buildPlatform);
}
