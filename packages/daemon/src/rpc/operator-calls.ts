import type {
  ChangeFailure,
  ChangeRequest,
  ConfigurationReplica,
  ConfigurationService,
  ConfigurationSync,
  Member,
  Membership,
  PeerClient,
} from '@ferrylock/control';
import { memberKey } from '@ferrylock/control';
import type {
  ChangeResult,
  Declaration,
  OperatorMethod,
  OperatorParams,
  OperatorResult,
} from '@ferrylock/schema';
import type { Result } from 'ts-results-es';
import type { ServiceMetrics } from '../metrics/service-metrics.js';
import type { LookupService } from '../services/lookup-service.js';
import type { ServiceDirectory } from '../services/service-directory.js';
import type { OperatorIdentity, OperatorRole } from './operator-authenticator.js';
import { changeError, rpcError } from './rpc-error.js';

/** A store that was confirmed within this time counts as reachable. */
const STORE_REACHABLE_MILLISECONDS = 10_000;

export interface OperatorCallsOptions {
  readonly configuration: ConfigurationService;
  readonly replica: ConfigurationReplica;
  readonly sync: ConfigurationSync;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly directory: ServiceDirectory;
  readonly lookup: LookupService;
  readonly metrics: ServiceMetrics;
}

type Call<Method extends OperatorMethod> = (
  params: OperatorParams<Method>,
  operator: OperatorIdentity,
) => Promise<OperatorResult<Method>> | OperatorResult<Method>;

/** What each call does, and the role that it takes. */
export type OperatorCallTable = {
  readonly [Method in OperatorMethod]: {
    readonly role: OperatorRole;
    readonly run: Call<Method>;
  };
};

/** The operators' calls. */
export class OperatorCalls {
  readonly table: OperatorCallTable = {
    'configuration.apply': {
      role: 'editor',
      run: (params, operator) => this.#apply(params, operator),
    },
    'configuration.get': { role: 'reader', run: ({ account }) => this.#get(account) },
    'configuration.history': {
      role: 'reader',
      run: ({ account }) => ({ changes: this.#options.replica.get(account)?.changes ?? [] }),
    },
    'configuration.rollback': {
      role: 'editor',
      run: (params, operator) =>
        this.#answer(
          this.#options.configuration.rollback(
            changeRequest(params, operator, 'rollback'),
            params.toGeneration,
          ),
        ),
    },
    'drain.start': {
      role: 'editor',
      run: (params, operator) =>
        this.#answer(
          this.#options.configuration.drain(changeRequest(params, operator, 'drain'), params.drain),
        ),
    },
    'drain.end': {
      role: 'editor',
      run: (params, operator) =>
        this.#answer(
          this.#options.configuration.undrain(
            changeRequest(params, operator, 'undrain'),
            params.drain,
          ),
        ),
    },
    status: { role: 'reader', run: ({ account }) => this.#status(account) },
    lookup: {
      role: 'reader',
      run: ({ account, service, address }) => {
        const result = this.#options.lookup.lookup(account, service, address);
        if (result === undefined) {
          throw rpcError('notFound', `no service "${service}" of account "${account}"`);
        }
        return result;
      },
    },
    metrics: {
      role: 'reader',
      run: ({ account }) => ({ services: this.#options.metrics.summaries(account) }),
    },
  };

  readonly #options: OperatorCallsOptions;

  constructor(options: OperatorCallsOptions) {
    this.#options = options;
  }

  #apply(
    params: OperatorParams<'configuration.apply'>,
    operator: OperatorIdentity,
  ): Promise<ChangeResult> {
    if (params.declaration.account !== params.account) {
      throw rpcError('invalidParams', 'declaration.account: expected the account of the call', {
        problems: [{ field: 'declaration.account', message: `expected "${params.account}"` }],
      });
    }
    this.#checkHostNames(params.declaration);
    return this.#answer(
      this.#options.configuration.apply(
        changeRequest(params, operator, 'apply'),
        params.declaration,
      ),
    );
  }

  /** A host name belongs to the account that declared it first. */
  #checkHostNames(declaration: Declaration): void {
    for (const [name, service] of Object.entries(declaration.services)) {
      for (const hostName of service.hostNames) {
        const owner = this.#options.directory.ownerOfHostName(hostName, declaration.account);
        if (owner !== undefined) {
          const field = `declaration.services.${name}.hostNames`;
          const message = `host name "${hostName}" belongs to another account`;
          throw rpcError('invalidParams', `${field}: ${message}`, {
            problems: [{ field, message }],
          });
        }
      }
    }
  }

  #get(account: string): OperatorResult<'configuration.get'> {
    const document = this.#options.replica.get(account);
    return {
      generation: document?.generation ?? 0,
      declaration: document?.declaration ?? null,
      drains: document?.drains ?? [],
    };
  }

  async #status(account: string): Promise<OperatorResult<'status'>> {
    const { membership, replica, sync } = this.#options;
    const members = membership.knownMembers();
    const generations = await Promise.all(
      members.map((member) => this.#generationAt(member, account)),
    );
    const latest = Math.max(replica.generation(account), ...generations.map((value) => value ?? 0));
    const hosts = members.map((member, index) => {
      const generation = generations[index] ?? null;
      return {
        id: member.id,
        failureDomain: member.failureDomain,
        generation,
        state:
          generation === null
            ? ('unknown' as const)
            : generation === latest
              ? ('inForce' as const)
              : ('lagging' as const),
      };
    });
    const storeReachable = sync.ageMilliseconds < STORE_REACHABLE_MILLISECONDS;
    return { generation: latest, hosts, storeReachable };
  }

  async #generationAt(member: Member, account: string): Promise<number | undefined> {
    const { membership, peers, replica } = this.#options;
    if (memberKey(member) === memberKey(membership.self)) {
      return replica.generation(account);
    }
    const answer = await peers.call(member.controlAddress, 'configuration.generation', {
      account,
    });
    return answer.isOk() ? answer.value.generation : undefined;
  }

  async #answer(change: Promise<Result<ChangeResult, ChangeFailure>>): Promise<ChangeResult> {
    const outcome = await change;
    if (outcome.isErr()) {
      throw changeError(outcome.error);
    }
    return outcome.value;
  }
}

function changeRequest(
  params: Pick<ChangeRequest, 'account' | 'changeId' | 'basedOn'>,
  operator: OperatorIdentity,
  kind: ChangeRequest['kind'],
): ChangeRequest {
  const { account, changeId, basedOn } = params;
  return { account, changeId, basedOn, author: operator.subject, kind };
}
