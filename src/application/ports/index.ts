export type { ClaimRequest, ClaimOutcome, ClaimError, Claims } from './Claims';
export type { Clock } from './Clock';
export type { ConfigurationView } from './ConfigurationView';
export type { DecisionLog } from './DecisionLog';
export type { AttemptStart, EngineStream, EngineClient } from './EngineClient';
export type { EngineError } from './EngineError';
export type { EventFields, EventLog } from './EventLog';
export type {
  GenerationError,
  GenerationEvent,
  GenerationFeed,
  ResumeRequest,
  Generations,
} from './Generations';
export type { HealthRegistry } from './HealthRegistry';
export type { PeerAttempts, LoadView } from './LoadView';
export type { ObjectStore } from './ObjectStore';
export type { EncodedConfiguration, PeerConfigurations } from './PeerConfigurations';
export type { PeerGenerations } from './PeerGenerations';
export type { PlainCall, PlainResponse, PlainError, PlainClient } from './PlainClient';
export type { Randomness } from './Randomness';
export type { SlotOutcome, Slot, Router } from './Router';
export type { StoreError } from './StoreError';
export type { TableItem, WriteCondition } from './TableItem';
export type { TableStore } from './TableStore';
export type { VmList } from './VmList';
export type {
  AttemptAnswer,
  AttemptError,
  AttemptRequest,
  CopyError,
  ForeignAnswer,
  ForwardClient,
  KvCopy,
  ServerIdentity,
  ServerSighting,
} from './ForwardClient';
export type { RowCallOptions, RowChanges, RowError, RowSource, SharedRow } from './RowSource';
export type { RowWriter, RowWrites } from './RowWriter';
