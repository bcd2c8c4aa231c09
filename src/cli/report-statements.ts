/** Asks the VMs for the statements that they counted. */
import * as z from 'zod';
import type {VmRecord} from '../infra/vm-list.js';
import type {VmStatements} from '../telemetry/burn-report.js';
import {STATEMENT_KINDS} from '../telemetry/metrics.js';

const ANSWER_TIMEOUT_MS = 3_000;
const MAX_PARALLEL_REQUESTS = 50;

const count = z.int().min(0);

const answerSchema = z.object({
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

/** Asks one VM for its statements. */
export interface StatementsProbe {
  /** The VM's slices from `since` on, or undefined without an answer. */
  read(vm: VmRecord, since: number): Promise<VmStatements['slices']>;
}

/** Asks over the VM's admin port. */
export class HttpStatementsProbe implements StatementsProbe {
  async read(vm: VmRecord, since: number): Promise<VmStatements['slices']> {
    try {
      const res = await fetch(`${adminUrl(vm)}/statements?since=${since}`, {
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      const answer = answerSchema.parse(await res.json());
      // Another VM may answer at an address that the lagging list still gives.
      return answer.vm === vm.id ? answer.slices : undefined;
    } catch {
      return undefined;
    }
  }
}

/** The base URL of a VM's admin port. */
export function adminUrl({host, adminPort}: VmRecord): string {
  return `http://${host.includes(':') ? `[${host}]` : host}:${adminPort}`;
}

/** Asks several VMs, a bounded number at the same time. */
export async function readStatements(
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
