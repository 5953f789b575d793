import { HEADERS } from '../../../../platform';
import type { StandInServer } from '../../../../standins/gateway';
import type { TakenRequest } from '../takeNextRequest';
import type { TestGateway } from '../startTestGateway';

/** Finds the server that the KV cache of a stream is copied to. */
export const findBackup = ({ servers }: TestGateway, { request }: TakenRequest): StandInServer => {
  const address = request.headers[HEADERS.kvBackup];
  const backup = servers.find((server) => server.address === address);
  if (!backup) throw new Error(`no server at ${String(address)}`);
  return backup;
};
