import { countCrashedServers } from '../countCrashedServers';
import { countLostRuns } from '../countLostRuns';
import { judgeCrashes } from '../judgeCrashes';
import { judgeCrashPresence } from '../judgeCrashPresence';
import { judgeCrashRate } from '../judgeCrashRate';
import { listServersOfCommonAge } from '../listServersOfCommonAge';
import type {
  CrashedServer,
  CrashShareEvidence,
  CrashShareReason,
  CrashShareVerdict,
  CrashSuspect,
} from '../types';

/** Share of crashes, and crashed servers, from which on a part may account for those of others. */
const MIN_SHARE = 0.25;
const MIN_SERVERS = 3;

/** The same for a part that accounts for the crashes of a server on which it began last. */
const LARGE_SHARE = 0.4;
const MANY_SERVERS = 5;

const isSuspicious = ({ answers, servers }: CrashSuspect): boolean =>
  servers >= MIN_SERVERS && servers >= MIN_SHARE * (servers + answers);

/** True if a part of which few or no runs have gone well crashed several servers. */
const isVerySuspicious = ({ answers, servers }: CrashSuspect): boolean =>
  servers >= MANY_SERVERS && servers >= LARGE_SHARE * (servers + answers);

/** Complete runs that are added to those of a part: a few crashes in a row may be chance. */
const ASSUMED_ANSWERS = 2;

/** Computes the share of the runs with a part that crashed, from 0 to 1. */
const computeShare = ({ answers, servers }: CrashSuspect): number =>
  servers / (servers + answers + ASSUMED_ANSWERS);

/** True if a part has crashed a larger share of its runs than another one. */
const isStronger = (one: CrashSuspect, other: CrashSuspect): boolean =>
  computeShare(one) > computeShare(other);

const listFingerprints = (suspects: readonly CrashSuspect[]): ReadonlySet<string> =>
  new Set(suspects.map(({ fingerprint }) => fingerprint));

/** Lists the servers that ran none of the parts. */
const filterServersWithout = (
  servers: readonly CrashedServer[],
  excluded: ReadonlySet<string>,
): readonly CrashedServer[] =>
  servers.filter(({ parts }) => ![...parts.keys()].some((part) => excluded.has(part)));

/** The evidence, and what several steps need of it. */
interface SplitEvidence extends CrashShareEvidence {
  /** Servers that ran the part. */
  readonly own: readonly CrashedServer[];
  /** Servers that did not. */
  readonly rest: readonly CrashedServer[];
  /** Servers on which a run with the part had one and the same age. */
  readonly ofCommonAge: readonly CrashedServer[];
  /** Other parts that may account for crashes. */
  readonly suspicious: readonly CrashSuspect[];
}

const splitEvidence = (evidence: CrashShareEvidence): SplitEvidence => {
  const { held, others, servers, suspect } = evidence;
  const ranPart = ({ parts }: CrashedServer): boolean => parts.has(suspect.fingerprint);
  const own = servers.filter(ranPart);
  return {
    ...evidence,
    own,
    ofCommonAge: listServersOfCommonAge(own, suspect.fingerprint),
    rest: servers.filter((one) => !ranPart(one)),
    suspicious: others.filter((one) => held.has(one.fingerprint) || isSuspicious(one)),
  };
};

const readRuns = ({ runs }: CrashedServer): number => runs;

const sumOf = (
  servers: readonly CrashedServer[],
  read: (server: CrashedServer) => number | undefined,
): number => servers.reduce((sum, one) => sum + (read(one) ?? 0), 0);

/** Computes the share of a part in all runs, lost or complete, from 0 to 1. */
const computeRunShare = ({ otherAnswers, own, servers, suspect }: SplitEvidence): number => {
  const { answers, fingerprint } = suspect;
  const lost = sumOf(own, ({ parts }) => parts.get(fingerprint));
  return (lost + answers) / (sumOf(servers, readRuns) + answers + otherAnswers);
};

/**
 * Computes the share of a part in the time that runs spent at servers, from 0 to 1: the chance that it is
 * part of a run which a server has at any moment.
 */
const computeTimeShare = ({ otherRunMs, own, runMs, servers, suspect }: SplitEvidence): number => {
  const lostMs = sumOf(own, ({ lostMsByPart }) => lostMsByPart.get(suspect.fingerprint));
  return (lostMs + runMs) / (sumOf(servers, (one) => one.lostMs) + runMs + otherRunMs);
};

/**
 * Lists the servers that did not run the part, and whose crash no other part accounts for: one that is
 * held responsible, or that is very suspicious and began last. Most servers ran some suspicious part, so
 * that a rare sound part would otherwise be left with its own few.
 */
const listUnexplainedServers = ({
  held,
  rest,
  suspicious,
}: SplitEvidence): readonly CrashedServer[] => {
  const verySuspicious = listFingerprints(suspicious.filter(isVerySuspicious));
  return filterServersWithout(rest, held).filter(
    ({ newestParts }) => ![...newestParts].some((part) => verySuspicious.has(part)),
  );
};

/**
 * Lists the servers that ran the part and nothing more suspicious. Parts that are held responsible are
 * more suspicious than others, however many servers they crashed.
 */
const listServersWithoutStronger = ({
  held,
  own,
  suspect,
  suspicious,
}: SplitEvidence): readonly CrashedServer[] => {
  const isHeld = held.has(suspect.fingerprint);
  const stronger = suspicious.filter((one) =>
    held.has(one.fingerprint)
      ? !isHeld || isStronger(one, suspect)
      : !isHeld && isStronger(one, suspect),
  );
  return filterServersWithout(own, listFingerprints(stronger));
};

/** Lists the other parts that are held responsible and have crashed as large a share of their runs. */
const listWorseHeldParts = ({ held, others, suspect }: SplitEvidence): ReadonlySet<string> =>
  listFingerprints(
    others.filter((one) => held.has(one.fingerprint) && computeShare(one) >= computeShare(suspect)),
  );

/**
 * Lists the servers that accuse a part: its run had the same age as on others when they crashed, it began
 * last there, or nothing more suspicious ran there.
 *
 * Sound parts lose many runs beside a bad one: they explain no crash of a run that began last. A part
 * that is held responsible does, if it has crashed as large a share of its runs.
 */
const listAccusingServers = (split: SplitEvidence): readonly CrashedServer[] => {
  const { own, suspect } = split;
  const alone = new Set(listServersWithoutStronger(split));
  const newest = own.filter(({ newestParts }) => newestParts.has(suspect.fingerprint));
  const unexplained = new Set(filterServersWithout(newest, listWorseHeldParts(split)));
  const ofCommonAge = new Set(split.ofCommonAge);
  return own.filter((one) => alone.has(one) || unexplained.has(one) || ofCommonAge.has(one));
};

/** Judges whether chance explains that a part was on the servers that crashed. */
const judgePresence = (split: SplitEvidence): boolean => {
  const { held, servers, suspect } = split;
  const { fingerprint } = suspect;
  const isNewest = ({ newestParts }: CrashedServer): boolean => newestParts.has(fingerprint);
  const wasHeldNewest = ({ newestParts }: CrashedServer): boolean =>
    [...newestParts].some((part) => held.has(part));
  return (
    judgeCrashPresence({
      runsWith: listServersWithoutStronger(split).map(readRuns),
      runsWithout: listUnexplainedServers(split).map(readRuns),
      share: computeTimeShare(split),
    }) ||
    // Those that accuse the part were chosen by what began last: other servers are compared, too.
    judgeCrashPresence({
      runsWith: servers.filter(isNewest).map(() => 1),
      runsWithout: servers.filter((one) => !isNewest(one) && !wasHeldNewest(one)).map(() => 1),
      share: computeRunShare(split),
    }) ||
    split.ofCommonAge.length > 0
  );
};

/**
 * Judges whether a prompt part that crashes servers in some of its runs is responsible.
 *
 * Its share of crashes must be larger than that of runs without it (`judgeCrashRate`), and chance must
 * not explain on how many of the crashed servers it had run, or had begun last, or had a run of the
 * same age (`judgeCrashPresence`). Servers that ran a more suspicious part do not accuse it.
 * Once it is held responsible, its share alone decides.
 *
 * @returns whether it is responsible, and why
 */
export const judgeCrashShare = (evidence: CrashShareEvidence): CrashShareVerdict => {
  const split = splitEvidence(evidence);
  const { crashes, held, otherAnswers, suspect } = split;
  const { answers, fingerprint } = suspect;
  const isHeld = held.has(fingerprint);
  const accusing = listAccusingServers(split);
  const accusingIds = new Set(accusing.map(({ server }) => server));
  const accusations = crashes.filter(({ server }) => accusingIds.has(server));
  const unexplained = listUnexplainedServers(split);
  const otherCrashes = countLostRuns(unexplained);
  const rate = { crashes: countCrashedServers(accusations), answers, otherCrashes, otherAnswers };
  const findReason = (): CrashShareReason => {
    const isAccused = judgeCrashes(accusations, { isPart: true, hasAnswer: answers > 0 });
    if (!isHeld && !isAccused) return 'accusations';
    if (!judgeCrashRate(rate, { isHeld })) return 'share';
    if (isHeld) return 'held';
    return judgePresence(split) ? 'found' : 'chance';
  };
  const reason = findReason();
  return {
    isResponsible: reason === 'held' || reason === 'found',
    reason,
    accusing: accusing.length,
    otherCrashes,
    otherServers: unexplained.length,
  };
};
