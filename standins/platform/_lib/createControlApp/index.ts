import { Hono } from 'hono';
import { z } from 'zod';
import type { FaultyServer, ServerEnv } from '../../../http';
import type { StandInVmList } from '../../../vm-list';

/** The stand-ins that the control interface controls. */
export interface ControlledServers {
  readonly table: FaultyServer;
  readonly objects: FaultyServer;
  readonly vmList: StandInVmList;
}

const FaultsBody = z
  .object({
    outage: z.enum(['none', 'refuse', 'hang', 'error']),
    delayMs: z.number().nonnegative(),
    loseAnswers: z.number().int().nonnegative(),
    loseBy: z.enum(['cut', 'silence']),
    dropRequests: z.number().int().nonnegative(),
  })
  .partial()
  .strict();

const VmsBody = z.object({
  vms: z.array(
    z.object({
      vm: z.string(),
      peerAddress: z.string().default(''),
      region: z.string(),
      availabilityZone: z.string(),
      leaving: z.boolean().default(false),
    }),
  ),
});

const VmBody = z.object({ vm: z.string() });
const LagBody = z.object({ lagMs: z.number().nonnegative() });

/**
 * Creates the control interface: `POST /control/{table|objects|vmList}/faults`,
 * `GET /control/{…}/counts`, `POST /control/{…}/counts/reset` and
 * `POST /control/vmList/{vms|leaving|removed|lag}`.
 */
export function createControlApp(servers: ControlledServers): Hono<ServerEnv> {
  const app = new Hono<ServerEnv>();
  app.onError((error, c) => c.json({ error: error.message }, 400));
  Object.entries(servers).forEach(([name, server]: [string, FaultyServer]) => {
    app.post(`/control/${name}/faults`, async (c) => {
      await server.setFaults(FaultsBody.parse(await c.req.json()));
      return c.json(server.readFaults());
    });
    app.get(`/control/${name}/counts`, (c) => c.json(server.readCounts()));
    app.post(`/control/${name}/counts/reset`, (c) => {
      server.resetCounts();
      return c.json(server.readCounts());
    });
  });
  app.post('/control/vmList/vms', async (c) => {
    servers.vmList.setVms(VmsBody.parse(await c.req.json()).vms);
    return c.body(null, 204);
  });
  app.post('/control/vmList/leaving', async (c) => {
    servers.vmList.markLeaving(VmBody.parse(await c.req.json()).vm);
    return c.body(null, 204);
  });
  app.post('/control/vmList/removed', async (c) => {
    servers.vmList.removeVm(VmBody.parse(await c.req.json()).vm);
    return c.body(null, 204);
  });
  app.post('/control/vmList/lag', async (c) => {
    servers.vmList.setLagMs(LagBody.parse(await c.req.json()).lagMs);
    return c.body(null, 204);
  });
  return app;
}
