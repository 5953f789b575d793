export { ConfigCommand } from './ConfigCommand';
