/** What the group commands ask of the VMs' admin ports. */
import * as z from 'zod';
import type {VmRecord} from '../infra/vm-list.js';
import {adminUrl} from './report-statements.js';

const GROUPS_TIMEOUT_MS = 2_000;
/** Longer than a node lets its home take over a switch. */
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
      // JSON has no infinity: null when it never answered.
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

/** A group as its home on one VM sees it. */
export type ReportedView = z.output<typeof viewSchema>;

/** The homes that a VM knows of, and the views of its own homes. */
export type GroupsAnswer = z.output<typeof groupsSchema>;

/** The outcome of a planned switch as it comes over HTTP. */
export type ReportedSwitch = z.output<typeof switchSchema>;

/** The outcome of an order to a VM. */
export type SwitchAnswer =
  | {readonly kind: 'answered'; readonly result: ReportedSwitch}
  /** The VM refused the order; nothing was changed. */
  | {readonly kind: 'rejected'; readonly reason: string}
  /** It may have been carried out. */
  | {readonly kind: 'unknown'; readonly reason: string};

/** Speaks to the admin ports about groups. */
export interface GroupApi {
  /** Undefined when the VM gives no answer. */
  readGroups(vm: VmRecord): Promise<GroupsAnswer | undefined>;
  /** Orders a switch once; never repeats it. */
  switchPrimary(
    vm: VmRecord,
    group: string,
    databaseId: string,
  ): Promise<SwitchAnswer>;
}

/** Speaks HTTP. */
export class HttpGroupApi implements GroupApi {
  async readGroups(vm: VmRecord): Promise<GroupsAnswer | undefined> {
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
  ): Promise<SwitchAnswer> {
    try {
      const res = await fetch(`${adminUrl(vm)}/switch`, {
        method: 'POST',
        body: JSON.stringify({group, databaseId}),
        signal: AbortSignal.timeout(SWITCH_TIMEOUT_MS),
      });
      const body: unknown = await res.json();
      if (res.ok) return {kind: 'answered', result: switchSchema.parse(body)};
      const reason = readError(body);
      // Only 404 is sure to be given before the order.
      if (res.status === 404) return {kind: 'rejected', reason};
      return {kind: 'unknown', reason};
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      return {kind: 'unknown', reason: `${vm.id} gave no answer: ${reason}`};
    }
  }
}

function readError(body: unknown): string {
  const {error} = (body ?? {}) as {readonly error?: unknown};
  return typeof error === 'string' ? error : 'no reason given';
}
