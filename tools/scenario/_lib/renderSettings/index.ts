import { REGION } from '../renderConfiguration';
import type { PlannedProcess } from '../listProcesses';

/** Base URLs of the platform's stand-ins. */
export interface PlatformUrls {
  readonly table: string;
  readonly objects: string;
  readonly vmList: string;
}

type Table = Readonly<Record<string, unknown>>;

const LISTEN = { host: '127.0.0.1', port: 0 };
const CREDENTIALS = { region: REGION, access_key_id: 'scenario', secret_access_key: 'scenario' };
const CURSOR_KEY = 'scenario-cursor-key-of-32-letters';

const renderPlatform = (urls: PlatformUrls): Table => ({
  table: { ...CREDENTIALS, endpoint: urls.table, name: 'jackdaw' },
  objects: { ...CREDENTIALS, endpoint: urls.objects, bucket: 'jackdaw' },
  vm_list: { endpoint: urls.vmList },
});

const renderVm = ({ name, availabilityZone }: PlannedProcess): Table => ({
  name,
  region: REGION,
  availability_zone: availabilityZone,
});

/** Renders the settings file of an entry as a TOML table. */
export const renderEntrySettings = (planned: PlannedProcess, urls: PlatformUrls): Table => ({
  ...renderPlatform(urls),
  vm: renderVm(planned),
  callers: LISTEN,
  peers: LISTEN,
  cursors: { keys: [CURSOR_KEY] },
});

/** Renders the settings file of a keeper as a TOML table. */
export const renderKeeperSettings = (planned: PlannedProcess, urls: PlatformUrls): Table => ({
  table: renderPlatform(urls).table,
  vm: renderVm(planned),
  monitor: LISTEN,
});

/** Renders the settings file of the operator's binary as a TOML table. */
export const renderOperatorSettings = (urls: PlatformUrls): Table => {
  const { table, vm_list: vmList } = renderPlatform(urls);
  return { operator: { name: 'scenario' }, table, vm_list: vmList };
};
