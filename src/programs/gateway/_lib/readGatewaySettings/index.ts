import { readFile } from 'node:fs/promises';
import { err, type Result } from 'neverthrow';
import { decodeSettings } from '../../../../../platform';
import type { GatewaySettings } from '../../../../domain/forwarding';

/** Reads the settings file. The error has one line per problem, with file, key and reason. */
export const readGatewaySettings = async (
  file: string,
): Promise<Result<GatewaySettings, readonly string[]>> => {
  try {
    const text = await readFile(file, 'utf8');
    return decodeSettings(text).mapErr((problems) =>
      problems.map(({ key, reason }) => `${file}: ${key || 'file'}: ${reason}`),
    );
  } catch (error) {
    return err([`${file}: ${error instanceof Error ? error.message : 'cannot be read'}`]);
  }
};
