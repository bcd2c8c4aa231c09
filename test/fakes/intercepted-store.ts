/** A store whose calls a test can refuse, lose or delay. */
import type {LeasedStore} from '../../src/infra/leased-store.js';

/** Makes a call of the store, or does something else in its place. */
export type StoreInterceptor = (
  call: () => Promise<unknown>,
) => Promise<unknown>;

/**
 * Returns a store that passes each call to `intercept`.
 *
 * @example
 * interceptStore(store, async call => {
 *   if (isCutOff) throw new StoreError('notSent', 'cut off');
 *   return call();
 * });
 */
export function interceptStore(
  store: LeasedStore,
  intercept: StoreInterceptor,
): LeasedStore {
  return new Proxy(store, {
    get(target, name) {
      const method = Reflect.get(target, name) as (
        ...args: unknown[]
      ) => Promise<unknown>;
      return (...args: unknown[]) =>
        intercept(() => method.apply(target, args));
    },
  });
}
