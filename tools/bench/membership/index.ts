export { MembershipCommand } from './MembershipCommand';
