import { buildWireConfiguration } from '../../../../standins/gateway';

/** What differs from the usual test configuration. */
export interface ConfigurationChange {
  readonly version?: number;
  /** Fields of all routes. */
  readonly route?: object;
  /** Fields of the engine of the service. */
  readonly engine?: object;
}

interface WireConfiguration {
  readonly routes: readonly object[];
  readonly services: readonly { readonly engine: object }[];
}

/** Builds the test configuration with changes of all routes and of its service. */
export const buildChangedConfiguration = ({
  engine = {},
  route = {},
  version = 2,
}: ConfigurationChange): object => {
  const base = buildWireConfiguration() as WireConfiguration;
  return {
    ...base,
    version,
    routes: base.routes.map((one) => ({ ...one, ...route })),
    services: base.services.map((one) => ({ ...one, engine: { ...one.engine, ...engine } })),
  };
};
