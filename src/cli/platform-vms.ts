/** Reads the platform's list of VMs and the configuration version of a VM. */
import * as z from 'zod';
import type {Store} from '../infra/store.js';
import {VM_LIST_KEY, type VmRecord} from '../infra/vm-list.js';
import {CommandError} from './context.js';

const PROBE_TIMEOUT_MS = 1_000;

const portSchema = z.int().min(1).max(65_535);

const vmListSchema = z.array(
  z.object({
    id: z.string(),
    host: z.string(),
    peerPort: portSchema,
    adminPort: portSchema,
    dataCentre: z.string(),
    state: z.enum(['live', 'leaving']),
  }),
);

const versionsSchema = z.object({vm: z.string(), config: z.int().min(0)});

/** Reads the configuration version in force on a VM. */
export interface VersionProbe {
  /** Returns undefined if the VM does not answer. */
  readVersion(vm: VmRecord): Promise<number | undefined>;
}

/** {@link VersionProbe} over the VM's admin port. */
export class HttpVersionProbe implements VersionProbe {
  async readVersion(vm: VmRecord): Promise<number | undefined> {
    const host = vm.host.includes(':') ? `[${vm.host}]` : vm.host;
    try {
      const res = await fetch(`http://${host}:${vm.adminPort}/versions`, {
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      const answer = versionsSchema.parse(await res.json());
      // The list may be out of date and its address in use by another VM.
      return answer.vm === vm.id ? answer.config : undefined;
    } catch {
      return undefined;
    }
  }
}

/** Reads the platform's list of VMs. */
export async function readVmList(store: Store): Promise<readonly VmRecord[]> {
  const stored = await store.get(VM_LIST_KEY);
  if (stored === undefined) return [];
  const result = vmListSchema.safeParse(parseJson(stored.value));
  if (result.success) return result.data;
  throw new CommandError(
    `the platform's list of VMs can't be read: ${z.prettifyError(result.error)}; report it to the platform's operators`,
  );
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
