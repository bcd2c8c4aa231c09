/** Records of the fleet's members. */
import type {FleetMember} from '../../src/fleet/member-record.js';

/** A member with one core that isn't leaving. */
export function createFleetMember(
  id: string,
  rest: Partial<FleetMember> = {},
): FleetMember {
  return {
    id,
    host: '10.0.0.1',
    port: 7_000,
    dataCentre: 'hobart',
    instance: '1',
    cores: 1,
    isLeaving: false,
    ...rest,
  };
}
