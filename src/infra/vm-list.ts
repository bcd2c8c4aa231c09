/** The platform's list of the VMs that run nodes; it may be out of date. */

/** A VM as listed by the platform. */
export interface VmRecord {
  readonly id: string;
  readonly host: string;
  /** Port for connections between nodes. */
  readonly peerPort: number;
  /** Port of the HTTP API for operators. */
  readonly adminPort: number;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
}

/** The store key that holds the platform's list, a JSON array of VmRecord. */
export const VM_LIST_KEY = 'platform/vms';
