export { parseJson } from './parseJson';
