/** A stand-in store and the admin ports of the VMs that it lists. */
import {afterEach, beforeEach} from 'vitest';
import {
  createStoreServer,
  type StoreServer,
} from '../../standins/store/server.js';
import {JsonAdmin, type AnswerOf} from './json-admin.js';

/** The routes that a VM's admin port answers. */
export type AdminRoutes = Readonly<Record<string, AnswerOf>>;

/** What the tests of commands that ask the VMs run against. */
export class CliFleet {
  server!: StoreServer;
  admins: readonly JsonAdmin[] = [];

  /** Starts one admin port for each VM, and lists the VMs. */
  async start(routes: Readonly<Record<string, AdminRoutes>>): Promise<void> {
    this.admins = Object.entries(routes).map(
      ([vm, answers]) => new JsonAdmin(vm, answers),
    );
    await Promise.all(this.admins.map(admin => admin.listen()));
    this.server.setVms(this.admins.map(({vm}) => vm));
  }
}

/** A fleet for each test of the file, with no VM until it is started. */
export function useCliFleet(): CliFleet {
  const fleet = new CliFleet();

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
