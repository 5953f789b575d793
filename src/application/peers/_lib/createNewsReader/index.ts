import { computeIncarnationTag, computeNameId } from '../../../../domain/membership';
import type { Fact, News } from '../../../../domain/membership';
import type { VersionSource } from '../../types';
import type { MemberTable } from '../createMemberTable';
import type { FactMerger } from '../createFactMerger';
import type { EchoClock } from '../createEchoClock';
import type { PartnerTable } from '../createPartnerTable';

/** Dependencies of the news reader. */
export interface NewsReaderDependencies {
  readonly region: string;
  readonly members: MemberTable;
  readonly partners: PartnerTable;
  readonly echoClock: EchoClock;
  readonly merger: FactMerger;
  readonly versions: VersionSource;
}

/** Processes received news. */
export interface NewsReader {
  readNews(news: News): void;
  /** Monotonic time of the newest table read reported by peers, or null. */
  readNewestPeerReadAtMs(): number | null;
}

/** Lists the facts in the header: the sender's record and heartbeat. */
function listHeaderFacts(news: News, region: string): readonly Fact[] {
  const { sender, beats } = news;
  const id = computeNameId(sender.vm);
  const incarnationTag = computeIncarnationTag(sender.incarnation);
  const peer: Fact = { kind: 'peer', record: sender };
  const pulse: Fact = { kind: 'pulse', id, incarnationTag, beats };
  return sender.region === region ? [peer, pulse] : [peer];
}

/** Creates a news reader. */
export function createNewsReader(deps: NewsReaderDependencies): NewsReader {
  const { members, partners, echoClock, merger, versions } = deps;
  let newestReadAtMs: number | null = null;

  const recordReadAge = (ageMs: number | null, writtenAfterMs: number | null): void => {
    if (ageMs === null || writtenAfterMs === null) return;
    const readAtMs = writtenAfterMs - ageMs;
    if (newestReadAtMs === null || readAtMs > newestReadAtMs) newestReadAtMs = readAtMs;
  };

  return {
    readNews: (news) => {
      const { vm, incarnation, peerAddress } = news.sender;
      const known = members.find(vm);
      // Late news of an earlier process would overwrite facts of its successor.
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
    readNewestPeerReadAtMs: () => newestReadAtMs,
  };
}
