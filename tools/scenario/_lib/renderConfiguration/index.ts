import { createHash } from 'node:crypto';
import { SCENARIO_KEY } from '../../sendGeneration';
import type { Scenario } from '../../types';

/** A backend server as the runner started it. */
export interface StartedServer {
  readonly name: string;
  readonly url: string;
  readonly availabilityZone: string;
  readonly services: readonly string[];
}

/** Region of all zones of a scenario. */
export const REGION = 'region-1';

const SERVICES = {
  review: { kind: 'model', work_class: 'long', max_output_tokens: 4096 },
  status: { kind: 'model', work_class: 'lookup', max_output_tokens: 64 },
  billing: { kind: 'plain', idempotent: false, timeout_ms: 5000 },
  register: { kind: 'plain', idempotent: true, timeout_ms: 5000 },
};

/** Renders the configuration of a scenario's deployment as one TOML table. */
export function renderConfiguration(
  { deployment }: Scenario,
  servers: readonly StartedServer[],
): Readonly<Record<string, unknown>> {
  const digest = createHash('sha256').update(SCENARIO_KEY).digest('hex');
  const places = deployment.zones.map((zone) => [
    zone,
    { region: REGION, availability_zones: [zone] },
  ]);
  const backendServers = servers.map((server) => [
    server.name,
    {
      url: server.url,
      region: REGION,
      availability_zone: server.availabilityZone,
      services: server.services,
      slots: deployment.slots,
      checks_fencing: deployment.checks_fencing,
    },
  ]);
  const hosted = servers.flatMap((server) => server.services);
  const services = Object.entries(SERVICES).filter(([name]) => hosted.includes(name));
  return {
    deployment: { name: 'scenario', survival: deployment.survival },
    places: Object.fromEntries(places),
    services: Object.fromEntries(services),
    backend_servers: Object.fromEntries(backendServers),
    workspaces: {
      clerks: {
        key_digests: [digest],
        services: services.map(([name]) => name),
        places: deployment.zones,
      },
    },
  };
}
