import { err, ok, type Result } from 'neverthrow';
import type { Condition } from '../types';

type Groups = Readonly<Record<string, string>>;

const buildNamedForm = (kind: 'end' | 'route' | 'exit' | 'ready' | 'unready') => ({
  pattern: new RegExp(`^${kind} of (?<name>\\S+)$`, 'u'),
  build: ({ name = '' }: Groups): Condition => ({ kind, name }),
});

const buildCountedForm = (
  kind: Extract<Condition, { count: number; name: string }>['kind'],
  pattern: RegExp,
) => ({
  pattern,
  build: ({ count, name = '' }: Groups): Condition => ({ kind, count: Number(count), name }),
});

const FORMS = [
  buildCountedForm('token', /^token (?<count>\d+) of (?<name>\S+)$/u),
  buildCountedForm('calls', /^(?<count>\d+) calls? at (?<name>\S+)$/u),
  buildCountedForm('reads', /^(?<count>\d+) reads of the (?<name>list)$/u),
  buildCountedForm('version', /^version (?<count>\d+) at (?<name>\S+)$/u),
  {
    pattern: /^log "(?<text>[^"]+)" of (?<name>\S+)$/u,
    build: ({ text = '', name = '' }: Groups): Condition => ({ kind: 'log', text, name }),
  },
  {
    pattern: /^(?<count>\d+) lines? "(?<text>[^"]+)"$/u,
    build: ({ count, text = '' }: Groups): Condition => ({
      kind: 'lines',
      text,
      count: Number(count),
    }),
  },
  buildNamedForm('end'),
  buildNamedForm('route'),
  buildNamedForm('exit'),
  buildNamedForm('ready'),
  buildNamedForm('unready'),
];

/**
 * Parses the condition that a step waits for.
 *
 * @example
 * parseCondition('token 40 of review-1');
 */
export function parseCondition(text: string): Result<Condition, string> {
  const found = FORMS.flatMap(({ pattern, build }) => {
    const groups = pattern.exec(text)?.groups;
    return groups === undefined ? [] : [build(groups)];
  });
  const [condition] = found;
  return condition === undefined ? err(`unknown condition: "${text}"`) : ok(condition);
}
