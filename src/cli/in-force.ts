/** Polling of VMs until a configuration version is in force on all of them. */
import type {Clock} from '../infra/clock.js';
import {StoreError, type Store} from '../infra/store.js';
import type {VmRecord} from '../infra/vm-list.js';
import {
  HttpVersionProbe,
  readVmList,
  type VersionProbe,
} from './platform-vms.js';

const POLL_INTERVAL_MS = 250;
const MAX_PARALLEL_PROBES = 50;

/** The version to wait for, and how to poll for it. */
export interface InForceRequest {
  readonly store: Store;
  readonly clock: Clock;
  readonly version: number;
  readonly timeoutMs: number;
  readonly probe?: VersionProbe;
}

/** A VM and the configuration version in force on it. */
export interface VmVersion {
  readonly vm: VmRecord;
  /** Undefined if the VM did not answer. */
  readonly version: number | undefined;
}

/** How far a version's rollout has come. */
export interface InForceReport {
  /** Number of listed VMs; undefined if the list could not be read. */
  readonly total: number | undefined;
  /** VMs that have not confirmed the version. */
  readonly lagging: readonly VmVersion[];
}

/**
 * Polls the VMs until all have confirmed the version or the timeout has passed.
 * Rereads the list of VMs in each round, as VMs come and go.
 *
 * @example
 * const report = await waitUntilInForce({store, clock, version: 42, timeoutMs: 10_000});
 */
export async function waitUntilInForce(
  request: InForceRequest,
): Promise<InForceReport> {
  const {store, clock, version, timeoutMs} = request;
  const probe = request.probe ?? new HttpVersionProbe();
  const deadline = clock.now() + timeoutMs;
  const confirmed = new Set<string>();
  for (;;) {
    const vms = await tryReadVmList(store);
    const pending = (vms ?? []).filter(vm => !confirmed.has(vm.id));
    const lagging: VmVersion[] = [];
    for (const {vm, version: reportedVersion} of await probeVersions(
      probe,
      pending,
    )) {
      if (reportedVersion !== undefined && reportedVersion >= version)
        confirmed.add(vm.id);
      else lagging.push({vm, version: reportedVersion});
    }
    const report: InForceReport = {total: vms?.length, lagging};
    if (isInForceEverywhere(report) || clock.now() >= deadline) return report;
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

/** True if every listed VM has the version; false for an empty list. */
export function isInForceEverywhere({total, lagging}: InForceReport): boolean {
  return total !== undefined && total > 0 && lagging.length === 0;
}

/** Formats a summary line and one line per lagging VM. */
export function formatInForce(report: InForceReport): readonly string[] {
  const {total, lagging} = report;
  if (total === undefined) {
    return ["in force on an unknown number: the list of VMs can't be read"];
  }
  const lines = lagging.map(({vm, version}) =>
    version === undefined
      ? `lagging: ${vm.id} gave no answer at ${vm.host}:${vm.adminPort}`
      : `lagging: ${vm.id} has version ${version}`,
  );
  return [`in force on ${total - lagging.length} of ${total}`, ...lines];
}

/** Requests the version of each VM, in batches of bounded size. */
export async function probeVersions(
  probe: VersionProbe,
  vms: readonly VmRecord[],
): Promise<readonly VmVersion[]> {
  const answers: VmVersion[] = [];
  for (let start = 0; start < vms.length; start += MAX_PARALLEL_PROBES) {
    const batch = vms.slice(start, start + MAX_PARALLEL_PROBES);
    const versions = batch.map(async vm => ({
      vm,
      version: await probe.readVersion(vm),
    }));
    answers.push(...(await Promise.all(versions)));
  }
  return answers;
}

async function tryReadVmList(
  store: Store,
): Promise<readonly VmRecord[] | undefined> {
  try {
    return await readVmList(store);
  } catch (err) {
    if (err instanceof StoreError) return undefined;
    throw err;
  }
}
