import { computeIncarnationTag, computeNameId } from '../../../../domain/membership';
import type { Fact, News } from '../../../../domain/membership';
import type { VersionSource } from '../../types';
import type { MemberTable } from '../createMemberTable';
import type { FactMerger } from '../createFactMerger';
import type { EchoClock } from '../createEchoClock';
import type { PartnerTable } from '../createPartnerTable';

/** What the reader needs. */
export interface NewsReaderDependencies {
  readonly region: string;
  readonly members: MemberTable;
  readonly partners: PartnerTable;
  readonly echoClock: EchoClock;
  readonly merger: FactMerger;
  readonly versions: VersionSource;
}

/** Takes in news. */
export interface NewsReader {
  readNews(news: News): void;
  /** Monotonic time of the newest table read that peers told of, or null. */
  readNewestPeerReadAtMs(): number | null;
}

/** The sender's own record and heartbeat, which the header carries. */
function listHeaderFacts(news: News, region: string): readonly Fact[] {
  const { sender, beats } = news;
  const id = computeNameId(sender.vm);
  const incarnationTag = computeIncarnationTag(sender.incarnation);
  const peer: Fact = { kind: 'peer', record: sender };
  const pulse: Fact = { kind: 'pulse', id, incarnationTag, beats };
  return sender.region === region ? [peer, pulse] : [peer];
}

/** Creates the reader of news. */
export function createNewsReader(deps: NewsReaderDependencies): NewsReader {
  const { members, partners, echoClock, merger, versions } = deps;
  let heardReadAtMs: number | null = null;

  const recordReadAge = (ageMs: number | null, writtenAfterMs: number | null): void => {
    if (ageMs === null || writtenAfterMs === null) return;
    const readAtMs = writtenAfterMs - ageMs;
    if (heardReadAtMs === null || readAtMs > heardReadAtMs) heardReadAtMs = readAtMs;
  };

  return {
    readNews: (news) => {
      const { vm, incarnation, peerAddress } = news.sender;
      const known = members.find(vm);
      // News of an earlier process that comes late would undo what its successor told.
      if (known !== null && incarnation < known.record.incarnation) return;
      const writtenAfterMs = echoClock.convertEcho(news.echoClockMs);
      partners.recordNews(news);
      merger.mergeFacts([...listHeaderFacts(news, deps.region), ...news.facts], {
        vm,
        writtenAfterMs,
      });
      const member = members.find(vm);
      if (member === null) return;
      member.configurationVersion = news.configurationVersion;
      if (writtenAfterMs !== null) {
        member.heardAtMs = Math.max(member.heardAtMs ?? writtenAfterMs, writtenAfterMs);
      }
      recordReadAge(news.newestReadAgeMs, writtenAfterMs);
      if (news.configurationVersion > versions.readVersion()) {
        versions.recordPeerVersion(news.configurationVersion, { vm, peerAddress });
      }
    },
    readNewestPeerReadAtMs: () => heardReadAtMs,
  };
}
