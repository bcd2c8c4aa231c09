/** `zinnia vm list`: lists the VMs and the configuration version on each. */
import type {CommandModule} from 'yargs';
import type {Store} from '../infra/store.js';
import {runCommand} from './context.js';
import {EXIT} from './exit-codes.js';
import {probeVersions, type VmVersion} from './in-force.js';
import {
  HttpVersionProbe,
  readVmList,
  type VersionProbe,
} from './platform-vms.js';
import {withStoreOption, type StoreArgs} from './store-option.js';

/**
 * Reads the platform's list of VMs and the version in force on each.
 *
 * @example
 * const vms = await listVms(store);
 */
export async function listVms(
  store: Store,
  probe: VersionProbe = new HttpVersionProbe(),
): Promise<readonly VmVersion[]> {
  return probeVersions(probe, await readVmList(store));
}

/** The yargs module of `zinnia vm list`. */
export const vmListCommand: CommandModule<object, StoreArgs> = {
  command: 'list',
  describe: 'List the VMs, and the configuration version in force on each',
  builder: yargs => withStoreOption(yargs),
  handler: args =>
    runCommand(args, async ({store, output}) => {
      for (const {vm, version} of await listVms(store)) {
        output.print(
          `vm=${vm.id} dataCentre=${vm.dataCentre} state=${vm.state} ` +
            `admin=${vm.host}:${vm.adminPort} config=${version ?? 'unanswered'}`,
        );
      }
      return EXIT.ok;
    }),
};
