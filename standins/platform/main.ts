// Runs the platform's stand-ins until SIGTERM or SIGINT; prints one JSON line with the ports.
import { createStandInPlatform } from './createStandInPlatform';

const platform = await createStandInPlatform();
const ports = {
  table: platform.table.port,
  objects: platform.objects.port,
  vmList: platform.vmList.port,
  control: platform.control.port,
};
process.stdout.write(`${JSON.stringify(ports)}\n`);

const stop = (): void => {
  // The process exits by itself once no server listens.
  platform.close();
};
process.once('SIGTERM', stop);
process.once('SIGINT', stop);
