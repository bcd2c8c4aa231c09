/** Client for the statement counts at the VMs' admin ports. */
import * as z from 'zod';
import type {VmRecord} from '../infra/vm-list.js';
import type {VmStatements} from '../telemetry/burn-report.js';
import {STATEMENT_KINDS} from '../telemetry/statement-metrics.js';

const REQUEST_TIMEOUT_MS = 3_000;
const MAX_PARALLEL_REQUESTS = 50;

const count = z.int().min(0);

const responseSchema = z.object({
  vm: z.string(),
  slices: z.array(
    z.object({
      team: z.string(),
      group: z.string(),
      kind: z.enum(STATEMENT_KINDS),
      startedAt: count,
      done: count,
      mayHaveRun: count,
      refused: z.record(z.string(), count),
      atReplicas: count,
      latency: z.string(),
    }),
  ),
});

/** Reads the statement counts of a VM. */
export interface StatementsProbe {
  /** Returns the slices from `since` on; undefined if the VM does not answer. */
  read(vm: VmRecord, since: number): Promise<VmStatements['slices']>;
}

/** {@link StatementsProbe} over the VM's admin port. */
export class HttpStatementsProbe implements StatementsProbe {
  async read(vm: VmRecord, since: number): Promise<VmStatements['slices']> {
    try {
      const res = await fetch(`${adminUrl(vm)}/statements?since=${since}`, {
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const answer = responseSchema.parse(await res.json());
      // The list may be out of date and its address in use by another VM.
      return answer.vm === vm.id ? answer.slices : undefined;
    } catch {
      return undefined;
    }
  }
}

/** Returns the base URL of a VM's admin port. */
export function adminUrl({host, adminPort}: VmRecord): string {
  return `http://${host.includes(':') ? `[${host}]` : host}:${adminPort}`;
}

/** Reads the statement counts of each VM, in batches of bounded size. */
export async function readAllStatements(
  probe: StatementsProbe,
  vms: readonly VmRecord[],
  since: number,
): Promise<readonly VmStatements[]> {
  const answers: VmStatements[] = [];
  for (let start = 0; start < vms.length; start += MAX_PARALLEL_REQUESTS) {
    const batch = vms.slice(start, start + MAX_PARALLEL_REQUESTS);
    const read = batch.map(async vm => ({
      vm: vm.id,
      slices: await probe.read(vm, since),
    }));
    answers.push(...(await Promise.all(read)));
  }
  return answers;
}
