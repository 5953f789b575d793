import type { Fact, News, PeerRecord } from '../../../../domain/membership';
import type { VersionSource } from '../../types';
import type { FactBoard, HeldFact } from '../createFactBoard';
import type { OwnClock } from '../createOwnClock';
import type { OwnFacts } from '../createOwnFacts';
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
  readonly board: FactBoard;
  readonly partners: PartnerTable;
  readonly ownFacts: OwnFacts;
  readonly ownClock: OwnClock;
  readonly versions: VersionSource;
  readonly readNewestReadAgeMs: () => number | null;
  readonly countHeardHere: () => number;
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
  const { board, partners, ownClock, versions } = deps;

  const writeHeader = (receiver: NewsReceiver) => {
    const partner = partners.find(receiver.vm);
    return {
      sender: deps.readSelf(),
      beats: ownClock.countBeats(),
      sequence: board.readSequence(),
      acknowledged: partner.received,
      configurationVersion: versions.readVersion(),
      newestReadAgeMs: deps.readNewestReadAgeMs(),
      clockMs: ownClock.readShownMs(),
      echoClockMs: partner.clockMs,
    };
  };
  const listOwnRegion = (isSameRegion: boolean): readonly Fact[] => {
    if (isSameRegion) return [];
    const { region } = deps.readSelf();
    return [{ kind: 'region', region, heard: deps.countHeardHere(), ageMs: 0 }];
  };

  // Where all are linked, everyone hears of a load from those who polled it: passing it on as well
  // was most of the bytes of a region of nine.
  const isWorthRelaying = ({ fact, from }: HeldFact): boolean =>
    fact.kind !== 'load' || from === deps.readSelf().vm || !deps.isFullMesh();

  return {
    writeNews: (receiver) => {
      deps.ownFacts.refresh(ownClock.countBeats());
      const since = partners.find(receiver.vm).acknowledged;
      const isSameRegion = receiver.region === deps.readSelf().region;
      const facts = board
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
