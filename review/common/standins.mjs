/** The project's own stand-ins for the store, the databases and the promotion API. */
export {KvServer} from '../../standins/kv/server.ts';
export {FailoverOrderServer} from '../../standins/kv/failover-orders.ts';
export {LineGroup} from '../../standins/lines/group.ts';
