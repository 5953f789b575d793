export { createDynamoTableStore } from './createDynamoTableStore';
export type { DynamoTableSettings } from './createDynamoTableStore';
