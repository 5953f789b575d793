import { ServiceKind, WorkClass, type Configuration, type Service } from '../../../types';
import type { ConfigurationFault } from '../../types';

function checkWorkClass(service: Service): readonly ConfigurationFault[] {
  const isPlain = service.kind === ServiceKind.Plain;
  if (isPlain === (service.workClass === WorkClass.Plain)) {
    return [];
  }
  const allowed = isPlain ? '"plain"' : '"lookup" or "long"';
  return [
    {
      path: ['services', service.name, 'work_class'],
      reason: `must be ${allowed} for a ${service.kind} service`,
    },
  ];
}

function checkModelKeys(service: Service): readonly ConfigurationFault[] {
  if (service.kind === ServiceKind.Model) {
    return [];
  }
  const keys = [
    ['model', service.model],
    ['model_version', service.modelVersion],
    ['adapter', service.adapter],
  ] as const;
  return keys
    .filter(([, value]) => value !== '')
    .map(([key]) => ({
      path: ['services', service.name, key],
      reason: 'does not apply to a plain service',
    }));
}

/** Lists services with keys that do not apply to their kind. */
export function listServiceFaults({ services }: Configuration): readonly ConfigurationFault[] {
  return services.flatMap((service) => [...checkWorkClass(service), ...checkModelKeys(service)]);
}
