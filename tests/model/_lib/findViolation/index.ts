/** A model: all states that can follow a state, and what must never hold. */
export interface Model<State> {
  readonly initial: State;
  readonly listNext: (state: State) => readonly State[];
  /** What is wrong with the state, or null. */
  readonly checkState: (state: State) => string | null;
  /** Alike for states that behave alike; the JSON of the state if absent. */
  readonly formatKey?: (state: State) => string;
}

/** Result of a search that visited every state. */
export interface SearchResult<State> {
  readonly states: number;
  /** Shortest way to a state that is wrong, or null. */
  readonly violation: { readonly reason: string; readonly path: readonly State[] } | null;
}

/** Searches stop with an error beyond this, since a partial one shows nothing. */
const MAX_STATES = 2_000_000;

interface Visit<State> {
  readonly state: State;
  readonly from: Visit<State> | null;
}

function buildPath<State>(visit: Visit<State>): readonly State[] {
  return visit.from === null ? [visit.state] : [...buildPath(visit.from), visit.state];
}

/** Visits every state that can be reached, breadth first, until one is wrong. */
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
    if (seen.size > MAX_STATES) throw new Error('the model has too many states');
    level = next;
  }
  return { states: seen.size, violation: null };
}
