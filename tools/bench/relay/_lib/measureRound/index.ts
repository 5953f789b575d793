/** Target of a round's requests. */
export interface RoundTarget {
  readonly url: string;
  readonly key: string;
}

/** Load of a round. */
export interface RelayLoad {
  readonly streams: number;
  /** Tokens of each stream. */
  readonly tokens: number;
  /** Time between the engine's tokens, in milliseconds. */
  readonly gapMs: number;
}

/** Figures of a round, as its callers measured them. */
export interface RoundReport {
  readonly tokens: number;
  readonly tokensPerS: number;
  readonly bytesPerToken: number;
}

const MS_PER_S = 1000;

let nextStream = 0;

const runStream = async (target: RoundTarget, load: RelayLoad) => {
  nextStream += 1;
  const response = await fetch(`${target.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { Authorization: `Bearer ${target.key}`, 'Content-Type': 'application/json' },
    // The engine itself needs the fields that are not part of OpenAI's format.
    body: JSON.stringify({
      model: 'review',
      stream: true,
      max_tokens: load.tokens,
      stream_id: `relay-${nextStream}`,
      return_token_ids: true,
      messages: [{ role: 'user', content: `dossier ${nextStream}` }],
    }),
  });
  if (!response.ok) throw new Error(`${response.status} ${await response.text()}`);
  const text = await response.text();
  return { bytes: text.length, tokens: text.split('"token_ids":[').length - 1 };
};

/** Runs one round of concurrent streams. */
export const measureRound = async (target: RoundTarget, load: RelayLoad): Promise<RoundReport> => {
  const startedMs = performance.now();
  const streams = await Promise.all(
    Array.from({ length: load.streams }, () => runStream(target, load)),
  );
  const durationMs = performance.now() - startedMs;
  const tokens = streams.reduce((sum, stream) => sum + stream.tokens, 0);
  const bytes = streams.reduce((sum, stream) => sum + stream.bytes, 0);
  return {
    tokens,
    tokensPerS: Math.round((tokens * MS_PER_S) / durationMs),
    bytesPerToken: Math.round(bytes / tokens),
  };
};
