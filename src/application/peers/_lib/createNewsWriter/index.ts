import type { Fact, News, PeerRecord } from '../../../../domain/membership';
import type { VersionSource } from '../../types';
import type { FactStore, StoredFact } from '../createFactStore';
import type { EchoClock } from '../createEchoClock';
import type { LocalFacts } from '../createLocalFacts';
import type { PartnerTable } from '../createPartnerTable';
import { isFactForRegion } from '../isFactForRegion';

/** Who gets the news. */
export interface NewsReceiver {
  readonly vm: string;
  readonly region: string;
}

/** What the writer needs. */
export interface NewsWriterDependencies {
  readonly readSelf: () => PeerRecord;
  readonly factStore: FactStore;
  readonly partners: PartnerTable;
  readonly localFacts: LocalFacts;
  readonly echoClock: EchoClock;
  readonly versions: VersionSource;
  readonly readNewestReadAgeMs: () => number | null;
  readonly countHeardInRegion: () => number;
  /** True: each VM of the region has a link with each other one. */
  readonly isFullMesh: () => boolean;
}

/** Writes news. */
export interface NewsWriter {
  /** News with all that the receiver does not have yet. */
  writeNews(receiver: NewsReceiver): News;
  /** News with these facts only; the answer needs none. */
  writeBrief(receiver: NewsReceiver, facts: readonly Fact[]): News;
}

/** Creates the writer of news. */
export function createNewsWriter(deps: NewsWriterDependencies): NewsWriter {
  const { factStore, partners, echoClock, versions } = deps;

  const writeHeader = (receiver: NewsReceiver) => {
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
  const listOwnRegion = (isSameRegion: boolean): readonly Fact[] => {
    if (isSameRegion) return [];
    const { region } = deps.readSelf();
    return [{ kind: 'region', region, heard: deps.countHeardInRegion(), ageMs: 0 }];
  };

  // Where all are linked, everyone hears of a load from those who polled it: passing it on as well
  // was most of the bytes of a region of nine.
  const isWorthRelaying = ({ fact, from }: StoredFact): boolean =>
    fact.kind !== 'load' || from === deps.readSelf().vm || !deps.isFullMesh();

  return {
    writeNews: (receiver) => {
      deps.localFacts.refresh(echoClock.countHeartbeats());
      const since = partners.find(receiver.vm).acknowledged;
      const isSameRegion = receiver.region === deps.readSelf().region;
      const facts = factStore
        .listSince(since, receiver.vm)
        .filter(isWorthRelaying)
        .map(({ fact }) => fact)
        .filter((fact) => isFactForRegion(fact, { isSameRegion, region: receiver.region }));
      return {
        ...writeHeader(receiver),
        since,
        brief: false,
        facts: [...facts, ...listOwnRegion(isSameRegion)],
      };
    },
    writeBrief: (receiver, facts) => {
      const header = writeHeader(receiver);
      return { ...header, since: header.sequence, brief: true, facts };
    },
  };
}
