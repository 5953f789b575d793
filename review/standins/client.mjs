// Stand-in of clients: each keeps its connection for many requests (PROTOCOL.md, "Requests").
import { Agent, request as sendRequest } from 'node:http';
import { randomBytes } from 'node:crypto';

/** Creates a client with one kept connection to a gateway. */
export const createClient = ({ ip, ports }, record, { maxSockets = 1 } = {}) => {
  const agent = new Agent({ keepAlive: true, maxSockets });
  return {
    /** Sends a request; resolves with its answer, or with the reason why there is none. */
    send: ({ path, method = 'POST', body = 'x', deadlineMs = 4000, headers = {}, key = 'key-1' }) =>
      new Promise((resolve) => {
        const id = randomBytes(8).toString('hex');
        record.add('sent', { id, path, gateway: ports.front });
        const finish = (answer) => {
          clearTimeout(timer);
          record.add('answered', { id, status: answer.status, reason: answer.reason });
          resolve({ id, ...answer });
        };
        const request = sendRequest(
          {
            host: ip,
            port: ports.front,
            path,
            method,
            agent,
            headers: {
              Host: 'a.example',
              Authorization: `Bearer ${key}`,
              'Jackdawmount-Attempt-Id': id,
              'Jackdawmount-Deadline-Ms': String(deadlineMs),
              ...(method === 'GET' ? {} : { 'Content-Length': String(Buffer.byteLength(body)) }),
              ...headers,
            },
          },
          (response) => {
            const chunks = [];
            response.on('data', (chunk) => chunks.push(chunk));
            response.on('end', () =>
              finish({
                status: response.statusCode,
                headers: response.headers,
                isComplete: response.complete,
                body: Buffer.concat(chunks),
              }),
            );
            response.on('error', (error) => finish({ status: 0, reason: String(error.code) }));
          },
        );
        const timer = setTimeout(() => request.destroy(new Error('deadline')), deadlineMs + 1000);
        request.on('error', (error) => finish({ status: 0, reason: error.code ?? error.message }));
        request.end(method === 'GET' ? undefined : body);
      }),
    stop: () => agent.destroy(),
  };
};
