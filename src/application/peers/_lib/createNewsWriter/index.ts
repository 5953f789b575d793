import type { Fact, News, PeerRecord } from '../../../../domain/membership';
import type { VersionSource } from '../../types';
import type { FactStore, StoredFact } from '../createFactStore';
import type { EchoClock } from '../createEchoClock';
import type { LocalFacts } from '../createLocalFacts';
import type { PartnerTable } from '../createPartnerTable';
import { isFactForRegion } from '../isFactForRegion';

/** Receiver of news. */
export interface NewsReceiver {
  readonly vm: string;
  readonly region: string;
}

/** Dependencies of the news writer. */
export interface NewsWriterDependencies {
  readonly readSelf: () => PeerRecord;
  readonly factStore: FactStore;
  readonly partners: PartnerTable;
  readonly localFacts: LocalFacts;
  readonly echoClock: EchoClock;
  readonly versions: VersionSource;
  readonly readNewestReadAgeMs: () => number | null;
  readonly countHeardInRegion: () => number;
  /** Whether each VM of the region exchanges news with every other one. */
  readonly isFullMesh: () => boolean;
}

/** Builds news for receivers. */
export interface NewsWriter {
  /** Builds news with all facts that the receiver does not have yet. */
  writeNews(receiver: NewsReceiver): News;
  /** Builds news with the given facts only; the response needs no facts. */
  writeBrief(receiver: NewsReceiver, facts: readonly Fact[]): News;
}

/** Creates a news writer. */
export function createNewsWriter(deps: NewsWriterDependencies): NewsWriter {
  const { factStore, partners, echoClock, versions } = deps;

  const buildHeader = (receiver: NewsReceiver) => {
    const partner = partners.find(receiver.vm);
    return {
      sender: deps.readSelf(),
      beats: echoClock.countHeartbeats(),
      sequence: factStore.readSequence(),
      acknowledged: partner.received,
      configurationVersion: versions.readVersion(),
      newestReadAgeMs: deps.readNewestReadAgeMs(),
      clockMs: echoClock.readWireMs(),
      echoClockMs: partner.clockMs,
    };
  };
  const listRegionFacts = (isSameRegion: boolean): readonly Fact[] => {
    if (isSameRegion) return [];
    const { region } = deps.readSelf();
    return [{ kind: 'region', region, heard: deps.countHeardInRegion(), ageMs: 0 }];
  };

  // In a full mesh every VM receives a load from the VM that polled it. Relaying loads as well was
  // most of the bytes in a region of nine VMs.
  const mustSend = ({ fact, from }: StoredFact): boolean =>
    fact.kind !== 'load' || from === deps.readSelf().vm || !deps.isFullMesh();

  return {
    writeNews: (receiver) => {
      deps.localFacts.refresh(echoClock.countHeartbeats());
      const since = partners.find(receiver.vm).acknowledged;
      const isSameRegion = receiver.region === deps.readSelf().region;
      const facts = factStore
        .listSince(since, receiver.vm)
        .filter(mustSend)
        .map(({ fact }) => fact)
        .filter((fact) => isFactForRegion(fact, { isSameRegion, region: receiver.region }));
      return {
        ...buildHeader(receiver),
        since,
        brief: false,
        facts: [...facts, ...listRegionFacts(isSameRegion)],
      };
    },
    writeBrief: (receiver, facts) => {
      const header = buildHeader(receiver);
      return { ...header, since: header.sequence, brief: true, facts };
    },
  };
}
