export { createMembershipFollower } from './createMembershipFollower';
export type {
  MembershipFollower,
  MembershipFollowerDependencies,
} from './createMembershipFollower';
