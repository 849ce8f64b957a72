export { blockContains, parseClientBlock, prefixKey } from './client-block.js';
export type { ClientBlock } from './client-block.js';
export {
  changeIdSchema,
  changeRecordSchema,
  configurationDocumentSchema,
  drainSchema,
  generationSchema,
} from './configuration-document.js';
export type { ChangeRecord, ConfigurationDocument, Drain } from './configuration-document.js';
export { declarationSchema, repeatClassSchema } from './declaration.js';
export type {
  Declaration,
  DeclarationInput,
  LinkLimit,
  RepeatClass,
  ServiceDeclaration,
  ShiftLimit,
  TargetDeclaration,
} from './declaration.js';
export { parseDeclarationText } from './declaration-text.js';
export { describeProblems, parseFields } from './field-problem.js';
export type { FieldProblem } from './field-problem.js';
export {
  ipAddressSchema,
  millisecondsField,
  nameSchema,
  numberField,
  portSchema,
  wholeNumberField,
} from './fields.js';
export { buildOpenRpcDocument, formatOpenRpcDocument } from './openrpc.js';
export { lookupResultSchema, operatorMethods } from './operator-methods.js';
export type {
  ChangeResult,
  LookupResult,
  OperatorMethod,
  OperatorParams,
  OperatorResult,
  ServiceMetric,
} from './operator-methods.js';
export { rpcErrorCodes, rpcErrorMeanings } from './rpc-errors.js';
