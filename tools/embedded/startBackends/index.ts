import {
  ServiceKind,
  type BackendServer,
  type Configuration,
  type LoadedModel,
} from '../../../src/domain/types';
import {
  createStandInEngine,
  type EngineSettings,
  type StandInEngine,
} from '../../../standins/engine';
import { createStandInPlainService, type StandInPlainService } from '../../../standins/plain';
import type { Backends } from '../types';

function isEngine(configuration: Configuration, server: BackendServer): boolean {
  return configuration.services.some(
    (service) => service.kind === ServiceKind.Model && server.services.includes(service.name),
  );
}

/** Lists the models that an engine has loaded: those of its target, else those of its services. */
function listModels(configuration: Configuration, server: BackendServer): readonly LoadedModel[] {
  const target = configuration.engineTargets.find((one) => one.backendServer === server.name);
  if (target !== undefined) return target.models;
  const services = configuration.services.filter(
    (service) => service.kind === ServiceKind.Model && server.services.includes(service.name),
  );
  return services.map(({ model, modelVersion, adapter }) => ({
    model,
    version: modelVersion || '1',
    adapter,
  }));
}

/**
 * Starts a stand-in for each backend server of a configuration.
 *
 * @param configuration - its URLs are replaced by those of the stand-ins
 * @param engineSettings - settings of all engines; names and, by default, slots and models are configured
 */
export async function startBackends(
  configuration: Configuration,
  engineSettings: Partial<EngineSettings> = {},
): Promise<Backends> {
  const engines = new Map<string, StandInEngine>();
  const plainServices = new Map<string, StandInPlainService>();
  const start = async (server: BackendServer): Promise<BackendServer> => {
    if (!isEngine(configuration, server)) {
      const service = await createStandInPlainService();
      plainServices.set(server.name, service);
      return { ...server, url: service.url };
    }
    const { name, slots, checksFencing } = server;
    const models = listModels(configuration, server);
    const settings = { slots, checksFencing, models, ...engineSettings, name };
    const engine = await createStandInEngine(settings);
    engines.set(name, engine);
    return { ...server, url: engine.url };
  };
  const backendServers = await Promise.all(configuration.backendServers.map(start));
  return {
    configuration: { ...configuration, backendServers },
    engines,
    plainServices,
    stop: async () => {
      const all = [...engines.values(), ...plainServices.values()];
      await Promise.all(all.map((standIn) => standIn.stop()));
    },
  };
}
