// Pours bytes that are no answer, in a process of its own: `node pouringServer.mjs HOST FORM fast|slow [all]`.
// Questions about its state get an answer. Prints its port, then `sent PATH` for each request that it
// pours on, and `closed PATH BYTES` once that connection is closed.
import { createServer } from 'node:net';

const [, , host, form, speed, pours] = process.argv;
const STATE = {
  '/healthz': '',
  '/jackdawmount/report': '{"queued":0,"active":0,"kv_used":0,"kv_total":88000,"runs":[]}',
};
const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const EVENT = 'id: 1\ndata: 1\n\n';
const toChunk = (text) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** What is sent first, and what is sent again and again. `SIGNED` stands for the headers of a server. */
const FORMS = {
  'informational heads': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
  head: [HEAD, 'x: y\r\n'],
  'head line': [`${HEAD}x: `, 'yyyyyyyy'],
  'chunk extension': [`SIGNED${'5;a='}`, 'bbbbbbbb'],
  'body without a line end': ['SIGNED', toChunk('dddddddd')],
  comments: ['SIGNED', toChunk(': x\n\n')],
  'empty lines': ['SIGNED', toChunk('\n\n')],
  'event without an end': [`SIGNED${toChunk('id: 1\ndata: ')}`, toChunk('dddddddd')],
  'comments after an event': [`SIGNED${toChunk(EVENT)}`, toChunk(': x\n\n')],
  trailers: [`SIGNED${toChunk(EVENT)}0\r\n`, 'x: y\r\n'],
};

const SLOW_MS = 50;
const COPIES = 4000;

const pour = (socket, text) => {
  if (socket.destroyed) return;
  if (speed === 'slow') {
    socket.write(text);
    setTimeout(() => pour(socket, text), SLOW_MS);
  } else if (socket.write(text.repeat(COPIES))) setImmediate(() => pour(socket, text));
  else socket.once('drain', () => pour(socket, text));
};

const server = createServer((socket) => {
  let request = '';
  let path = '';
  socket.on('error', () => undefined);
  socket.on('close', () => {
    if (path) process.stdout.write(`closed ${path} ${socket.bytesWritten}\n`);
  });
  socket.on('data', (bytes) => {
    if (request.includes('\r\n\r\n')) return;
    request += bytes.toString('latin1');
    if (!request.includes('\r\n\r\n')) return;
    const [, asked] = request.split(' ');
    const state = STATE[asked.split('?')[0]];
    if (state !== undefined && pours !== 'all') {
      const headers = `content-length: ${state.length}\r\njackdawmount-instance-id: i-1`;
      socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n${headers}\r\n\r\n${state}`);
      return;
    }
    path = asked;
    process.stdout.write(`sent ${path}\n`);
    const id = /^jackdawmount-attempt-id: (.*)\r$/im.exec(request)?.[1] ?? '';
    const signed = CHUNKED.replace(
      HEAD,
      `${HEAD}jackdawmount-attempt-id: ${id}\r\njackdawmount-server-stamp: s\r\n`,
    );
    const [first, again] = FORMS[form];
    socket.write(first.replace('SIGNED', signed));
    pour(socket, again);
  });
});
server.listen(0, host, () => process.stdout.write(`${server.address().port}\n`));
