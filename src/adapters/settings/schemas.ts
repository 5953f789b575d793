import { z } from 'zod';
import { readSecret } from './readSecret';

/** A secret: `env:NAME`, `file:PATH`, or the value itself. */
export const SecretSchema = z.string().transform((value, context) => {
  const secret = readSecret(value);
  if (secret.isOk()) return secret.value;
  context.addIssue({ code: 'custom', message: secret.error.reason });
  return z.NEVER;
});

const PortSchema = z.int().min(0).max(65_535);

/** Address on which a server listens. */
export const ListenSchema = z.strictObject({ host: z.string().min(1), port: PortSchema });

/** This VM's name and place. */
export const VmSchema = z
  .strictObject({
    name: z.string().min(1),
    region: z.string().min(1),
    availability_zone: z.string().min(1),
  })
  .transform((vm) => ({
    name: vm.name,
    region: vm.region,
    availabilityZone: vm.availability_zone,
  }));

const CREDENTIALS_SHAPE = {
  endpoint: z.url(),
  region: z.string().min(1),
  access_key_id: SecretSchema,
  secret_access_key: SecretSchema,
};

interface CredentialsInput {
  readonly endpoint: string;
  readonly region: string;
  readonly access_key_id: string;
  readonly secret_access_key: string;
}

const convertCredentials = (input: CredentialsInput) => ({
  endpoint: input.endpoint,
  region: input.region,
  accessKeyId: input.access_key_id,
  secretAccessKey: input.secret_access_key,
});

/** Settings of the platform's table. */
export const TableSchema = z
  .strictObject({ ...CREDENTIALS_SHAPE, name: z.string().min(1) })
  .transform((table) => ({ ...convertCredentials(table), tableName: table.name }));

/** Settings of the platform's object store. */
export const ObjectsSchema = z
  .strictObject({ ...CREDENTIALS_SHAPE, bucket: z.string().min(1) })
  .transform((objects) => ({ ...convertCredentials(objects), bucket: objects.bucket }));

/** Settings of the platform's VM list. */
export const VmListSchema = z.strictObject({ endpoint: z.url() });
