/** Formats an answer with a length, as the bytes that a raw server writes. */
export const formatRawAnswer = (
  status: number,
  headers: Readonly<Record<string, string>>,
  body = '',
): string => {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Raw\r\ncontent-length: ${body.length}\r\n${lines.join('')}\r\n${body}`;
};
