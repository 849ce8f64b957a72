import { FairAdmission } from '@ferrylock/routing';
import type { EntryHostOptions } from '../entry-host.js';
import type { AccountLimitController } from './account-limit-controller.js';
import { partsEvent } from './fair-admission-log.js';

/** Creates the admission of client accounts to services that are short of room. */
export function createFairAdmission(
  options: EntryHostOptions,
  accounts: AccountLimitController,
): FairAdmission {
  return new FairAdmission({
    ...options,
    isDisabled: options.settings.disabledMechanisms.has('fair-parts'),
    demand: () => accounts.fleetDemand,
    onChange: (change) => {
      options.events.write(partsEvent(change));
    },
  });
}
