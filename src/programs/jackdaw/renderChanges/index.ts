import type { ConfigurationChange } from '../../../domain/configuration';

function renderChange({ key, before, after }: ConfigurationChange): string {
  if (before === '') {
    return `+ ${key} = ${after}`;
  }
  return after === '' ? `- ${key} = ${before}` : `~ ${key}: ${before} -> ${after}`;
}

/** Renders one line per difference: `+` added, `-` removed, `~` changed. */
export function renderChanges(changes: readonly ConfigurationChange[]): readonly string[] {
  return changes.map(renderChange);
}
