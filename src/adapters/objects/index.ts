export { createS3ObjectStore } from './createS3ObjectStore';
export type { S3ObjectSettings } from './createS3ObjectStore';
