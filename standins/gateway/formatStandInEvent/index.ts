/** Formats a server-sent event as the engines do. */
export const formatStandInEvent = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;
