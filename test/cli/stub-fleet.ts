/** A stand-in store and stub admin servers of the VMs that it lists. */
import {afterEach, beforeEach} from 'vitest';
import {
  createStoreServer,
  type StoreServer,
} from '../../standins/store/server.js';
import {StubAdminServer, type RouteHandler} from './stub-admin-server.js';

/** Handlers of a VM's admin port by `METHOD /path`. */
export type AdminRoutes = Readonly<Record<string, RouteHandler>>;

/** The store and the admin servers that the commands under test talk to. */
export class StubFleet {
  server!: StoreServer;
  admins: readonly StubAdminServer[] = [];

  /** Starts an admin server for each VM, and lists the VMs in the store. */
  async start(routes: Readonly<Record<string, AdminRoutes>>): Promise<void> {
    this.admins = Object.entries(routes).map(
      ([vm, handlers]) => new StubAdminServer(vm, handlers),
    );
    await Promise.all(this.admins.map(admin => admin.listen()));
    this.server.setVms(this.admins.map(({vm}) => vm));
  }
}

/** Creates a fleet without VMs before each test, and stops it afterwards. */
export function useStubFleet(): StubFleet {
  const fleet = new StubFleet();

  beforeEach(async () => {
    fleet.admins = [];
    fleet.server = await createStoreServer({vms: []});
  });

  afterEach(async () => {
    await Promise.all(fleet.admins.map(admin => admin.close()));
    await fleet.server.close();
  });

  return fleet;
}
