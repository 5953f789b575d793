// Stand-in of the platform's store: rows, full reads, feeds and conditional writes (PROTOCOL.md).
import { createServer } from 'node:http';
import { once } from 'node:events';

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

/** Starts the store on a free port of 127.0.0.1. */
export const startStore = async () => {
  const rows = new Map();
  const startedAtMs = performance.now();
  let version = 0;
  let waiters = new Set();

  const reply = (response, status, body) => {
    if (response.destroyed || response.writableEnded) return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  };
  const stamp = () => ({ ver: version, now_ms: Math.round(performance.now() - startedAtMs) });
  const list = (table, part, after) =>
    [...rows.values()].filter((row) => row.table === table && row.part === part && row.ver > after);
  const encode = ({ value, ...row }) =>
    value === null ? { ...row, tombstone: true } : { ...row, value };

  const apply = (writes, removed) => {
    version += 1;
    for (const { table, part = '', key, value } of writes)
      rows.set(`${table}\n${part}\n${key}`, { table, part, key, value, ver: version });
    for (const { table, part = '', key } of removed)
      rows.set(`${table}\n${part}\n${key}`, { table, part, key, value: null, ver: version });
    for (const wake of [...waiters]) wake();
  };

  const handleRead = (query, response) => {
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const [from, to] = [query.get('from') ?? '', query.get('to')];
    const found = list(query.get('table'), query.get('part') ?? '', 0)
      .filter(({ value, key }) => value !== null && key >= from && (to === null || key < to))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    reply(response, 200, {
      rows: found.slice(0, limit).map(encode),
      truncated: found.length > limit,
      ...stamp(),
    });
  };

  const handleFeed = (query, response) => {
    const after = Number(query.get('after_revision'));
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    const find = () =>
      list(query.get('table'), query.get('part') ?? '', after).sort((a, b) => a.ver - b.ver);
    const send = () => {
      clearTimeout(timer);
      waiters.delete(wake);
      reply(response, 200, { rows: find().map(encode), ...stamp() });
    };
    const wake = () => {
      if (find().length > 0) send();
    };
    const timer = setTimeout(send, waitMs);
    waiters.add(wake);
    response.on('close', () => {
      clearTimeout(timer);
      waiters.delete(wake);
    });
    wake();
  };

  const handleChange = async (request, response) => {
    const {
      expected_revision: expected = [],
      writes = [],
      remove = [],
    } = JSON.parse(await readBody(request));
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers'))
      return reply(response, 403, {});
    const read = ({ table, part = '', key }) => rows.get(`${table}\n${part}\n${key}`);
    const isMet = (one) => (read(one)?.value == null ? 0 : read(one).ver) === one.ver;
    if (!expected.every(isMet))
      return reply(response, 412, {
        rows: expected.map(read).filter((row) => row?.value != null),
        ...stamp(),
      });
    apply(writes, remove);
    return reply(response, 200, stamp());
  };

  const handle = (request, response) => {
    const url = new URL(request.url, 'http://store');
    if (url.pathname === '/jackdawmount/rows-get') handleRead(url.searchParams, response);
    else if (url.pathname === '/jackdawmount/rows-feed') handleFeed(url.searchParams, response);
    else if (url.pathname === '/jackdawmount/rows-tx') handleChange(request, response);
    else reply(response, 404, {});
  };
  const servers = [];

  /**
   * Opens an address of the store.
   *
   * @param losesAnswer - true for a call whose answer is lost; its connection delivers nothing further
   */
  const openAddress = async (losesAnswer = () => false) => {
    const silent = new WeakSet();
    const server = createServer((request, response) => {
      if (silent.has(request.socket) || losesAnswer(request)) silent.add(request.socket);
      else handle(request, response);
    });
    server.keepAliveTimeout = 60_000;
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    servers.push(server);
    return `127.0.0.1:${server.address().port}`;
  };

  const address = await openAddress();
  const encodeValue = (value) =>
    Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64');
  return {
    address,
    openAddress,
    port: Number(address.split(':')[1]),
    write: (table, key, value) => apply([{ table, key, value: encodeValue(value) }], []),
    remove: (table, key) => apply([], [{ table, key }]),
    read: (table, key) => {
      const row = rows.get(`${table}\n\n${key}`);
      return row?.value == null ? null : JSON.parse(Buffer.from(row.value, 'base64').toString());
    },
    stop: () => {
      servers.forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
};
