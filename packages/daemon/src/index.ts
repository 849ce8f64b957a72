export { Daemon } from './daemon.js';
export type { DaemonAddresses, DaemonParts, StopReport } from './daemon.js';
export { ServiceMetrics } from './metrics/service-metrics.js';
export { layoutOf, parseSettings, settingsSchema } from './settings/settings.js';
export type { Settings, SettingsInput } from './settings/settings.js';
