#!/usr/bin/env node
/** The operators' command line: `ferrylock COMMAND`. */
import sade from 'sade';
import type { ChangeOptions, CommonOptions } from './commands.js';
import { Commands } from './commands.js';

const DEFAULT_ENDPOINT = 'http://127.0.0.1:8081';

const commands = new Commands({
  print: (text) => {
    console.log(text);
  },
  fail: (text) => {
    console.error(text);
  },
});

function end(exitCode: Promise<number>): void {
  void exitCode.then((code) => {
    process.exitCode = code;
  });
}

sade('ferrylock')
  .version('0.1.0')
  .option(
    '--endpoint',
    'URL of any daemon’s control listener',
    process.env.FERRYLOCK_ENDPOINT ?? DEFAULT_ENDPOINT,
  )
  .option('--account', 'Client account', process.env.FERRYLOCK_ACCOUNT)
  .option('--token', 'Operator’s token', process.env.FERRYLOCK_TOKEN)
  .option('--json', 'Print the result as one line of JSON')
  .option('--change-id', 'Names a change, so that repeating the command applies it once')
  .option('--based-on', 'Generation that a change is made from; the one in force if not given')

  .command('apply <file>', 'Put a declaration (INI or JSON) in force')
  .example('apply examples/skovlund.ini')
  .action((file: string, options: ChangeOptions) => {
    end(commands.apply(file, options));
  })

  .command('get', 'Print the declaration in force')
  .action((options: CommonOptions) => {
    end(commands.get(options));
  })

  .command('diff <file>', 'Compare a file with the declaration in force')
  .action((file: string, options: CommonOptions) => {
    end(commands.diff(file, options));
  })

  .command('status', 'Tell at which hosts the latest generation is in force')
  .action((options: CommonOptions) => {
    end(commands.status(options));
  })

  .command('history', 'List the latest changes')
  .action((options: CommonOptions) => {
    end(commands.history(options));
  })

  .command('rollback <generation>', 'Put an earlier declaration in force as a new generation')
  .action((generation: string, options: ChangeOptions) => {
    end(commands.rollback(generation, options));
  })

  .command('drain <scope> <name>', 'Give no new work to a target, host or failure-domain')
  .option('--service', 'Service of the target')
  .example('drain target verdict-03 --service verdict-api --account skovlund')
  .example('drain failure-domain jylland-1 --account skovlund')
  .action((scope: string, name: string, options: ChangeOptions) => {
    end(commands.drain(scope, name, options));
  })

  .command('undrain <scope> <name>', 'Give work to it again')
  .option('--service', 'Service of the target')
  .action((scope: string, name: string, options: ChangeOptions) => {
    end(commands.undrain(scope, name, options));
  })

  .command('lookup <service> <address>', 'Show the entry hosts for a caller at an address')
  .action((service: string, address: string, options: CommonOptions) => {
    end(commands.lookup(service, address, options));
  })

  .command('explain <id> <file>', 'Tell a request’s story from log files of entry hosts')
  .example('explain 9c41d07be2a35f68 host-1.log host-2.log')
  .action((id: string, file: string, options: { readonly _: readonly string[] }) => {
    end(commands.explain(id, [file, ...options._]));
  })

  .command('metrics', 'Print counts and latencies by service at the daemon that answers')
  .action((options: CommonOptions) => {
    end(commands.metrics(options));
  })

  .parse(process.argv);
