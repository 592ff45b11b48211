import pruneMap from '../../domain/collections/pruneMap.ts';
import { emptyDomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type {
  DomainMessage,
  RetryLoan,
  RetryLoanRequest,
} from '../../domain/fleet/DomainMessage.ts';
import type Clock from '../../ports/Clock.ts';
import type DomainPeers from './DomainPeers.ts';
import type PeerActivities from './PeerActivities.ts';
import type RetryLedger from './RetryLedger.ts';

// An answer inside a failure domain takes far less, and the request of a caller waits for it.
const answerMs = 15;
// An answer that comes later than this is not taken.
const maxAnswerMs = 1000;
const maxAsked = 12;
// After a search that found too little, the next one waits until hosts may have earned more.
const searchPauseMs = 500;
// A host that reported no retries is asked for this many, since its requests earn more.
const assumedLeft = 0.25;

/** Options of the loans. */
export interface RetryLoansOptions {
  readonly clock: Clock;
  readonly ledger: RetryLedger;
  readonly peers: DomainPeers;
  /** What the peers reported to have left. */
  readonly activities: PeerActivities;
  readonly sendMessage: (message: DomainMessage, address: string) => void;
}

/** A host that may have retries left. */
interface RetryLender {
  readonly address: string;
  /** Retries that it is likely to have left. */
  readonly left: number;
}

interface OpenRequest {
  readonly lender: string;
  readonly service: string;
  readonly retries: number;
  readonly askedAt: number;
  readonly answered: AbortController;
}

/** Borrows retries from the other entry hosts of a failure domain, and lends them. */
export default class RetryLoans {
  private readonly options: RetryLoansOptions;

  private readonly open = new Map<number, OpenRequest>();

  /** Instant from which to search again after a search that found too little, by service. */
  private readonly searchAt = new Map<string, number>();

  /** Number of searches; each begins with another host. */
  private searches = 0;

  /**
   * Number of the last request. Begins with the start of the process, so that an answer to an
   * earlier process of this host is not taken.
   */
  private lastId: number;

  constructor(options: RetryLoansOptions) {
    this.options = options;
    this.lastId = Math.floor(options.clock.now());
  }

  /**
   * Asks other hosts for what is missing for one retry: as many at a time as are likely to have it
   * together.
   */
  async borrowRetry(service: string): Promise<void> {
    const { clock, ledger } = this.options;
    if (clock.now() < (this.searchAt.get(service) ?? -Infinity)) return;
    const lenders = this.listLenders(service);
    let missing = ledger.computeMissing(service);
    while (missing > 0 && lenders.length > 0) {
      const asked: Promise<void>[] = [];
      while (missing > 0 && lenders.length > 0) {
        const lender = lenders.shift() as RetryLender;
        asked.push(this.askLender(lender.address, service, Math.min(missing, lender.left)));
        missing -= lender.left;
      }
      await Promise.all(asked);
      missing = ledger.computeMissing(service);
    }
    if (missing > 0) this.searchAt.set(service, clock.now() + searchPauseMs);
  }

  /** Answers a host that asks for retries. */
  acceptRequest({ id, service, retries }: RetryLoanRequest, from: string): void {
    const { clock, ledger, sendMessage } = this.options;
    const lent = ledger.lendRetries(service, retries);
    const leftMs = Math.max(0, Math.floor(lent.until - clock.now()));
    const loan = { id, retries: lent.retries, leftMs };
    sendMessage({ ...emptyDomainMessage, loan }, from);
  }

  /** Takes the answer of a host that was asked, also when no request waits for it any more. */
  acceptLoan({ id, retries, leftMs }: RetryLoan, from: string): void {
    const request = this.open.get(id);
    if (request?.lender !== from) return;
    const { service, askedAt, answered } = request;
    this.open.delete(id);
    const lent = Math.min(retries, request.retries);
    if (lent > 0) {
      this.options.ledger.addCredit(service, { retries: lent, until: askedAt + leftMs });
    }
    if (lent < request.retries) this.options.activities.markEmpty(from, service);
    answered.abort();
  }

  /** Lists the hosts to ask, those that are likely to have most left first. */
  private listLenders(service: string): RetryLender[] {
    const { peers, activities, clock } = this.options;
    const now = clock.now();
    this.searches += 1;
    return peers
      .listFrom(this.searches)
      .map((address) => ({
        address,
        left: activities.readLeft(address, service, now) || assumedLeft,
      }))
      .sort((first, second) => second.left - first.left)
      .slice(0, maxAsked);
  }

  private async askLender(lender: string, service: string, retries: number): Promise<void> {
    const { clock, sendMessage, activities } = this.options;
    const now = clock.now();
    pruneMap(this.open, ({ askedAt }) => askedAt + maxAnswerMs <= now);
    this.lastId += 1;
    const id = this.lastId;
    const answered = new AbortController();
    this.open.set(id, { lender, service, retries, askedAt: now, answered });
    sendMessage({ ...emptyDomainMessage, loanRequest: { id, service, retries } }, lender);
    await clock.sleepUntil(now + answerMs, answered.signal);
    if (!answered.signal.aborted) activities.markEmpty(lender, service);
  }
}
