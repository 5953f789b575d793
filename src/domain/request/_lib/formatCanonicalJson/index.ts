/** Formats a JSON value with sorted object keys, so that equal values give equal text. */
export const formatCanonicalJson = (value: unknown): string => {
  if (Array.isArray(value)) return `[${value.map(formatCanonicalJson).join(',')}]`;
  if (typeof value !== 'object' || value === null) return JSON.stringify(value) ?? 'null';
  const members = Object.entries(value)
    .filter(([, member]) => member !== undefined)
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([key, member]) => `${JSON.stringify(key)}:${formatCanonicalJson(member)}`);
  return `{${members.join(',')}}`;
};
