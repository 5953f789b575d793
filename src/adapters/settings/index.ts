export { readSecret } from './readSecret';
export type { SecretError } from './readSecret';
export {
  ListenSchema,
  ObjectsSchema,
  SecretSchema,
  TableSchema,
  VmListSchema,
  VmSchema,
} from './schemas';
