export { chooseOwners } from './chooseOwners';
export { chooseRowReader, type RowReaderCandidate } from './chooseRowReader';
export { chooseGossipPartners, MAX_FULL_MESH_VMS } from './chooseGossipPartners';
export type { GossipPartnerCandidate } from './chooseGossipPartners';
export { computeIncarnationTag } from './computeIncarnationTag';
export { computeNameId } from './computeNameId';
export { computeRendezvousWeight } from './computeRendezvousWeight';
export { convertFactsToReport } from './convertFactsToReport';
export { convertReportToFacts } from './convertReportToFacts';
export { decodeRegistration } from './decodeRegistration';
export type { RegistrationError } from './decodeRegistration';
export { encodeRegistration } from './encodeRegistration';
export { isLoadUpdateDue } from './isLoadUpdateDue';
export type { SentLoad } from './isLoadUpdateDue';
export { mergePeerRecord } from './mergePeerRecord';
export { rankBySize } from './rankBySize';
export type {
  CrashFact,
  Fact,
  LeavingFact,
  LoadFact,
  News,
  PeerFact,
  PeerRecord,
  HeartbeatFact,
  RecoveryFact,
  RegionFact,
  RunningAttemptsFact,
  ServerStateFact,
  SuspicionFact,
} from './types';
