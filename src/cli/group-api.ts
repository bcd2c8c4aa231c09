/** Client for the group endpoints of the VMs' admin ports. */
import * as z from 'zod';
import type {VmRecord} from '../infra/vm-list.js';
import {adminUrl} from './report-statements.js';

const GROUPS_TIMEOUT_MS = 2_000;
/** Above the 10 s that a node waits for the home to carry out a switch. */
const SWITCH_TIMEOUT_MS = 15_000;

const positionSchema = z.object({term: z.number(), offset: z.number()});

const statusSchema = z.object({
  role: z.enum(['primary', 'replica']),
  term: z.number(),
  fencedTerm: z.number(),
  received: positionSchema,
  applied: positionSchema,
  upstreamSilentMs: z.number().nullable(),
});

const viewSchema = z.object({
  name: z.string(),
  term: z.number(),
  primaryId: z.string().optional(),
  databases: z.array(
    z.object({
      spec: z.object({
        id: z.string(),
        dataCentre: z.string(),
        provider: z.enum(['old', 'new']),
      }),
      status: statusSchema.optional(),
      reachable: z.boolean(),
      // null if the database never answered: JSON cannot represent Infinity.
      unreachableMs: z.number().nullable(),
    }),
  ),
});

const groupsSchema = z.object({
  homes: z.record(z.string(), z.string().nullable()),
  views: z.array(viewSchema),
});

const failoverSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('promoted'),
    term: z.number(),
    databaseId: z.string(),
  }),
  z.object({kind: z.literal('outbid'), step: z.string(), reason: z.string()}),
  z.object({kind: z.literal('failed'), step: z.string(), reason: z.string()}),
]);

const switchSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('switched'), term: z.number()}),
  z.object({kind: z.literal('notStarted'), reason: z.string()}),
  z.object({
    kind: z.literal('fellBack'),
    reason: z.string(),
    failover: failoverSchema,
  }),
]);

/** State of a group as reported by its home on one VM. */
export type ReportedView = z.output<typeof viewSchema>;

/** The home of each group according to a VM, and the views of its own homes. */
export type GroupsResponse = z.output<typeof groupsSchema>;

/** Outcome of a planned switch, as the admin port reports it. */
export type ReportedSwitch = z.output<typeof switchSchema>;

/** Outcome of requesting a switch from a VM. */
export type SwitchResponse =
  | {readonly kind: 'answered'; readonly result: ReportedSwitch}
  /** The VM refused the request; nothing was changed. */
  | {readonly kind: 'rejected'; readonly reason: string}
  /** The switch may have been carried out. */
  | {readonly kind: 'unknown'; readonly reason: string};

/** Group operations of a VM's admin port. */
export interface GroupApi {
  /** Returns undefined if the VM does not answer. */
  readGroups(vm: VmRecord): Promise<GroupsResponse | undefined>;
  /** Requests a switch; never retries, as the switch may have happened. */
  switchPrimary(
    vm: VmRecord,
    group: string,
    databaseId: string,
  ): Promise<SwitchResponse>;
}

/** {@link GroupApi} over HTTP. */
export class HttpGroupApi implements GroupApi {
  async readGroups(vm: VmRecord): Promise<GroupsResponse | undefined> {
    try {
      const res = await fetch(`${adminUrl(vm)}/groups`, {
        signal: AbortSignal.timeout(GROUPS_TIMEOUT_MS),
      });
      return groupsSchema.parse(await res.json());
    } catch {
      return undefined;
    }
  }

  async switchPrimary(
    vm: VmRecord,
    group: string,
    databaseId: string,
  ): Promise<SwitchResponse> {
    try {
      const res = await fetch(`${adminUrl(vm)}/switch`, {
        method: 'POST',
        body: JSON.stringify({group, databaseId}),
        signal: AbortSignal.timeout(SWITCH_TIMEOUT_MS),
      });
      const body: unknown = await res.json();
      if (res.ok) return {kind: 'answered', result: switchSchema.parse(body)};
      const reason = readErrorMessage(body);
      // Only a 404 (unknown group) proves that no switch was started.
      if (res.status === 404) return {kind: 'rejected', reason};
      return {kind: 'unknown', reason};
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      return {kind: 'unknown', reason: `${vm.id} gave no answer: ${reason}`};
    }
  }
}

function readErrorMessage(body: unknown): string {
  const {error} = (body ?? {}) as {readonly error?: unknown};
  return typeof error === 'string' ? error : 'no reason given';
}
