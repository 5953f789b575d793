import type { News } from '../../../../domain/membership';

/** Progress of the exchange with a partner; mutable inside the exchange only. */
export interface Partner {
  incarnation: number;
  /** This VM's change counter up to which the partner acknowledged all facts. */
  acknowledged: number;
  /** The partner's change counter up to which this VM received all facts. */
  received: number;
  /** The newest clock value received from the partner. */
  clockMs: number;
}

/** Partners by VM. */
export interface PartnerTable {
  find(vm: string): Partner;
  /** Records the counters and the clock value of the news. */
  recordNews(news: News): Partner;
  remove(vm: string): void;
}

function createPartner(incarnation: number): Partner {
  return { incarnation, acknowledged: 0, received: 0, clockMs: 0 };
}

/** Creates an empty table of partners. */
export function createPartnerTable(): PartnerTable {
  const partners = new Map<string, Partner>();
  const find = (vm: string): Partner => {
    const known = partners.get(vm);
    if (known !== undefined) return known;
    const created = createPartner(0);
    partners.set(vm, created);
    return created;
  };
  return {
    find,
    recordNews: (news) => {
      const { vm, incarnation } = news.sender;
      // A new process holds none of the old one's facts and starts its counter elsewhere.
      if (find(vm).incarnation !== incarnation) partners.set(vm, createPartner(incarnation));
      const partner = find(vm);
      partner.acknowledged = Math.max(partner.acknowledged, news.acknowledged);
      if (news.since <= partner.received) {
        partner.received = Math.max(partner.received, news.sequence);
      }
      partner.clockMs = Math.max(partner.clockMs, news.clockMs);
      return partner;
    },
    remove: (vm) => {
      partners.delete(vm);
    },
  };
}
