export { LoadCommand } from './LoadCommand';
