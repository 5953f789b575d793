import type { RunContext } from '../../types';

/** Reads the configuration version in force at an entry from its metrics; 0 without an answer. */
export async function readVersion({ deployment }: RunContext, name: string): Promise<number> {
  try {
    const response = await fetch(`${deployment.readUrl(name)}/metrics`);
    const text = await response.text();
    return Number(
      /^jackdaw_configuration_version (?<version>\d+)$/mu.exec(text)?.groups?.version ?? 0,
    );
  } catch {
    return 0;
  }
}
