import { err, ok, type Result } from 'neverthrow';
import { ProblemKind, readSettingsFile, type ConfigurationProblem } from '../../../adapters/toml';
import { OperatorSettingsSchema, type OperatorSettings } from '../types';

/** Environment variable of each settings key. */
const VARIABLE_BY_KEY: Readonly<Record<string, string>> = {
  'table.endpoint': 'JACKDAW_TABLE_ENDPOINT',
  'table.name': 'JACKDAW_TABLE_NAME',
  'table.region': 'JACKDAW_REGION',
  'table.access_key_id': 'JACKDAW_ACCESS_KEY_ID',
  'table.secret_access_key': 'JACKDAW_SECRET_ACCESS_KEY',
  'vm_list.endpoint': 'JACKDAW_VM_LIST_ENDPOINT',
};

type Environment = Readonly<Record<string, string | undefined>>;

/** Builds the content of a settings file from environment variables. */
function buildDocument(environment: Environment): unknown {
  const vmListEndpoint = environment.JACKDAW_VM_LIST_ENDPOINT;
  const peers = environment.JACKDAW_PEERS;
  return {
    table: {
      endpoint: environment.JACKDAW_TABLE_ENDPOINT,
      name: environment.JACKDAW_TABLE_NAME ?? 'jackdaw',
      region: environment.JACKDAW_REGION,
      access_key_id: environment.JACKDAW_ACCESS_KEY_ID,
      secret_access_key: environment.JACKDAW_SECRET_ACCESS_KEY,
    },
    vm_list: vmListEndpoint === undefined ? undefined : { endpoint: vmListEndpoint },
    peers: peers === undefined ? undefined : { addresses: peers.split(',') },
  };
}

function readEnvironment(
  environment: Environment,
): Result<OperatorSettings, readonly ConfigurationProblem[]> {
  const parsed = OperatorSettingsSchema.safeParse(buildDocument(environment));
  return parsed.success
    ? ok(parsed.data)
    : err(
        parsed.error.issues.map(({ path, message }) => {
          const key = path.map(String).join('.');
          const variable = VARIABLE_BY_KEY[key] ?? key;
          return {
            kind: ProblemKind.Invalid,
            file: 'environment (no --settings FILE, no JACKDAW_SETTINGS)',
            line: 0,
            key: variable,
            reason: environment[variable] === undefined ? 'is not set' : message,
          };
        }),
      );
}

/**
 * Reads the operator's settings.
 *
 * @param file - settings file; if empty, the file that `JACKDAW_SETTINGS` names, or else the
 *   environment variables `JACKDAW_TABLE_ENDPOINT`, `JACKDAW_TABLE_NAME`, `JACKDAW_REGION`,
 *   `JACKDAW_ACCESS_KEY_ID`, `JACKDAW_SECRET_ACCESS_KEY`, `JACKDAW_VM_LIST_ENDPOINT` and
 *   `JACKDAW_PEERS`
 */
export async function readOperatorSettings(
  file: string,
  environment: Environment,
): Promise<Result<OperatorSettings, readonly ConfigurationProblem[]>> {
  const named = file === '' ? (environment.JACKDAW_SETTINGS ?? '') : file;
  return named === ''
    ? readEnvironment(environment)
    : readSettingsFile(named, OperatorSettingsSchema);
}
