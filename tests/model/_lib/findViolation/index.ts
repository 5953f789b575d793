/** A model: an initial state, the successors of each state, and an invariant. */
export interface Model<State> {
  readonly initial: State;
  readonly listNext: (state: State) => readonly State[];
  /** Describes how the state violates the invariant; null if the state is valid. */
  readonly checkState: (state: State) => string | null;
  /** Returns the same key for equivalent states; defaults to the JSON of the state. */
  readonly formatKey?: (state: State) => string;
}

/** Result of a search that visited every state. */
export interface SearchResult<State> {
  readonly states: number;
  /** Shortest path to a state that violates the invariant, or null. */
  readonly violation: { readonly reason: string; readonly path: readonly State[] } | null;
}

/** A larger search throws, since a partial search proves nothing. */
const MAX_STATES = 2_000_000;

interface Visit<State> {
  readonly state: State;
  readonly from: Visit<State> | null;
}

function buildPath<State>(visit: Visit<State>): readonly State[] {
  return visit.from === null ? [visit.state] : [...buildPath(visit.from), visit.state];
}

/** Visits every reachable state, breadth first, until a state violates the invariant. */
export function findViolation<State>(model: Model<State>): SearchResult<State> {
  const formatKey = model.formatKey ?? JSON.stringify;
  const seen = new Set([formatKey(model.initial)]);
  let level: readonly Visit<State>[] = [{ state: model.initial, from: null }];
  while (level.length > 0) {
    const next: Visit<State>[] = [];
    for (const visit of level) {
      const reason = model.checkState(visit.state);
      if (reason !== null) {
        return { states: seen.size, violation: { reason, path: buildPath(visit) } };
      }
      for (const state of model.listNext(visit.state)) {
        const key = formatKey(state);
        if (!seen.has(key)) {
          seen.add(key);
          next.push({ state, from: visit });
        }
      }
    }
    if (seen.size > MAX_STATES)
      throw new Error('the model has more states than the search may visit');
    level = next;
  }
  return { states: seen.size, violation: null };
}
