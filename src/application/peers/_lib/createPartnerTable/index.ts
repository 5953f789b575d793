import type { News } from '../../../../domain/membership';

/** How far this VM and a partner have told each other their facts; mutable inside the exchange. */
export interface Partner {
  incarnation: number;
  /** Own change counter up to which the partner has taken everything. */
  acknowledged: number;
  /** The partner's change counter up to which everything was taken here. */
  received: number;
  /** The partner's newest clock value seen. */
  clockMs: number;
}

/** Partners by VM. */
export interface PartnerTable {
  find(vm: string): Partner;
  /** Takes note of what the news says of counters and clock. */
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
      // A new process has none of what the old one took, and counts from elsewhere.
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
