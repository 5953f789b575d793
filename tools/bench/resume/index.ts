export { ResumeCommand } from './ResumeCommand';
