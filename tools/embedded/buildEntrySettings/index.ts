import type { EntrySettings } from '../../../src/programs/entry/types';
import type { StandInPlatform } from '../../../standins/platform';

const LISTEN = { host: '127.0.0.1', port: 0 };

/** The stand-ins accept any credentials. */
const CREDENTIALS = {
  region: 'local',
  accessKeyId: 'stand-in',
  secretAccessKey: 'stand-in-secret',
};

const CURSOR_KEY = 'stand-in-cursor-key-of-32-characters';

/** Builds the settings of an entry on free ports of 127.0.0.1 that uses a stand-in platform. */
export function buildEntrySettings(
  platform: StandInPlatform,
  vm: EntrySettings['vm'],
): EntrySettings {
  return {
    vm,
    callers: LISTEN,
    peers: { ...LISTEN, seeds: [] },
    table: { ...CREDENTIALS, endpoint: platform.table.url, tableName: 'jackdaw' },
    objects: { ...CREDENTIALS, endpoint: platform.objects.url, bucket: 'jackdaw' },
    vmList: { endpoint: platform.vmList.url },
    cursorKeys: [CURSOR_KEY],
  };
}
