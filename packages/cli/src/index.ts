export { Commands } from './commands.js';
export type { ChangeOptions, CommonOptions, Output } from './commands.js';
export { exitCodes } from './exit-codes.js';
export { OperatorClient } from './operator-client.js';
