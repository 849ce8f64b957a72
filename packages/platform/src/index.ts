export { EtcdStore } from './etcd-store.js';
export type { EtcdStoreOptions } from './etcd-store.js';
export { listedHostSchema } from './host-directory.js';
export type { HostDirectory, ListedHost } from './host-directory.js';
export { HttpHostDirectory } from './http-host-directory.js';
export type {
  KeyValueStore,
  StoredValue,
  StoreEvent,
  StoreFailure,
  StoreListing,
  StoreRevisions,
  StoreState,
  Swap,
  SwapOutcome,
  WatchOptions,
} from './key-value-store.js';
