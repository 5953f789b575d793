export { SlopesCommand } from './SlopesCommand';
