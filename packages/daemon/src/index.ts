export { Daemon } from './daemon.js';
export type { DaemonAddresses, DaemonParts, StopReport } from './daemon.js';
export { ControlServer } from './rpc/control-server.js';
export { HttpPeerTransport } from './rpc/http-peer-transport.js';
export { keysFromFile, TOKEN_AUDIENCE, TokenAuthenticator } from './rpc/token-authenticator.js';
export { OpenAuthenticator } from './rpc/operator-authenticator.js';
export { ServiceMetrics } from './metrics/service-metrics.js';
export { layoutOf, parseSettings, settingsSchema } from './settings/settings.js';
export type { Settings, SettingsInput } from './settings/settings.js';
