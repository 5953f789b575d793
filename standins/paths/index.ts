export { CHECK_MS, createPathsFixture, PATH_SERVER_IDS, ROUND_MS } from './createPathsFixture';
