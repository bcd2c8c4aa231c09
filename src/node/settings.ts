/** The node's settings: flags and `ZINNIA_*` variables, checked once. */
import * as z from 'zod';
import type {PeerAddress} from '../peers/types.js';
import {DEFAULT_MAX_WAIT_MS} from '../routing/replica-choice.js';

/** How one setting is named and described. */
export interface SettingInfo {
  readonly flag: string;
  readonly variable: string;
  readonly description: string;
  readonly fallback: string | undefined;
}

const port = z.coerce.number().int().min(0).max(65_535);
const milliseconds = z.coerce.number().int().min(1).max(3_600_000);
const secret = z.string().min(16);

/** Each setting: its check, its default as text, and what it is for. */
const DEFINITIONS = {
  vm: {
    check: z.string().min(1).max(64),
    text: 'Name of this VM, as the platform lists it.',
  },
  dataCentre: {
    check: z.string().min(1).max(64),
    text: 'Data centre of this VM.',
  },
  host: {
    check: z.string().min(1),
    fallback: '127.0.0.1',
    text: 'IP address to listen on.',
  },
  port: {
    check: port,
    fallback: '6432',
    text: 'Port for callers (PostgreSQL protocol).',
  },
  peerPort: {check: port, fallback: '6433', text: 'Port for other nodes.'},
  adminPort: {
    check: port,
    fallback: '6434',
    text: 'Port for operators (HTTP).',
  },
  store: {
    check: z
      .string()
      .regex(/^https?:\/\//, 'must start with http:// or https://'),
    text: "URL of the platform's key-value service.",
  },
  seeds: {
    check: z.string().transform(readSeeds),
    fallback: '',
    text: 'Peers to ask when the store is out at start-up: vm@host:port, separated by commas.',
  },
  targetUser: {
    check: z.string().min(1),
    text: "The node's own user at the targets.",
  },
  targetPassword: {
    check: z.string().min(1),
    text: "The node's own password at the targets.",
  },
  tokenSecret: {
    check: secret,
    text: 'Secret that signs session tokens; the same on every VM, at least 16 characters.',
  },
  previousTokenSecret: {
    check: z.union([z.literal(''), secret]),
    fallback: '',
    text: 'Secret of before, still accepted while it is replaced.',
  },
  peerSecret: {
    check: secret,
    text: 'Secret by which nodes recognise one another, at least 16 characters.',
  },
  tlsCert: {
    check: z.string(),
    fallback: '',
    text: 'PEM file of the certificate for callers; empty serves plain connections only.',
  },
  tlsKey: {
    check: z.string(),
    fallback: '',
    text: 'PEM file of the key of that certificate.',
  },
  deadlineMs: {
    check: milliseconds,
    fallback: '5000',
    text: 'Milliseconds a statement may take, unless the session sets zinnia.deadline_ms.',
  },
  standingLimitMs: {
    check: milliseconds,
    fallback: '3000',
    text: 'Milliseconds without contact after which a node refuses keyed work.',
  },
  replicaWaitMs: {
    check: z.coerce.number().int().min(0).max(60_000),
    fallback: String(DEFAULT_MAX_WAIT_MS),
    text: "Milliseconds a read may wait for a replica to show its session's writes before it goes to the primary.",
  },
  drainMs: {
    check: milliseconds,
    fallback: '30000',
    text: 'Milliseconds that a graceful shutdown waits for running work.',
  },
  maxCallers: {
    check: z.coerce.number().int().min(1).max(1_000_000),
    fallback: '20000',
    text: 'Caller connections that this node accepts.',
  },
  logLevel: {
    check: z.enum(['silent', 'error', 'warn', 'info', 'debug']),
    fallback: 'info',
    text: 'How much is logged.',
  },
} as const satisfies Record<
  string,
  {check: z.ZodType; fallback?: string; text: string}
>;

type Definitions = typeof DEFINITIONS;

/** The node's settings, checked and frozen. */
export type NodeSettings = {
  readonly [K in keyof Definitions]: z.output<Definitions[K]['check']>;
};

/** One fault in the settings. */
export interface SettingFault {
  readonly flag: string;
  readonly variable: string;
  readonly value: string | undefined;
  readonly message: string;
}

/** The settings could not be used; lists every fault at once. */
export class SettingsError extends Error {
  constructor(readonly faults: readonly SettingFault[]) {
    super(
      faults
        .map(f => {
          const value =
            f.value === undefined ? 'is missing' : `is '${f.value}'`;
          return `--${f.flag} (${f.variable}) ${value}: ${f.message}`;
        })
        .join('\n'),
    );
    this.name = 'SettingsError';
  }
}

/** Describes every setting, in order. */
export function describeSettings(): readonly SettingInfo[] {
  return Object.entries(DEFINITIONS).map(([name, definition]) => ({
    flag: kebab(name),
    variable: `ZINNIA_${kebab(name).toUpperCase().replaceAll('-', '_')}`,
    description: definition.text,
    fallback: 'fallback' in definition ? definition.fallback : undefined,
  }));
}

/**
 * Resolves the settings from flags first, then variables, then defaults.
 *
 * @param flags values by flag name, as `{'peer-port': '6433'}`
 * @throws SettingsError that lists every fault
 * @example
 * resolveSettings({vm: 'vm1', 'data-centre': 'hobart'}, process.env);
 */
export function resolveSettings(
  flags: Readonly<Record<string, string | undefined>>,
  env: Readonly<Record<string, string | undefined>>,
): NodeSettings {
  const faults: SettingFault[] = [];
  const resolved: Record<string, unknown> = {};
  for (const [name, definition] of Object.entries(DEFINITIONS)) {
    const flag = kebab(name);
    const variable = `ZINNIA_${flag.toUpperCase().replaceAll('-', '_')}`;
    const fallback = 'fallback' in definition ? definition.fallback : undefined;
    const value = flags[flag] ?? env[variable] ?? fallback;
    const parsed = definition.check.safeParse(value);
    if (parsed.success) {
      resolved[name] = parsed.data;
      continue;
    }
    const message =
      value === undefined
        ? `set it. ${definition.text}`
        : `${parsed.error.issues[0]?.message}. ${definition.text}`;
    faults.push({flag, variable, value, message});
  }
  if ((resolved['tlsCert'] === '') !== (resolved['tlsKey'] === '')) {
    faults.push({
      flag: 'tls-key',
      variable: 'ZINNIA_TLS_KEY',
      value: String(resolved['tlsKey']),
      message: 'set both --tls-cert and --tls-key, or neither',
    });
  }
  if (faults.length > 0) throw new SettingsError(faults);
  return Object.freeze(resolved) as NodeSettings;
}

function kebab(name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/** Reads `vm@host:port,...`. */
function readSeeds(text: string, ctx: z.RefinementCtx): readonly PeerAddress[] {
  const items = text.split(',').filter(item => item.trim() !== '');
  return items.flatMap(item => {
    const match = /^([^@]+)@([^@]+):(\d{1,5})$/.exec(item.trim());
    if (match === null) {
      ctx.addIssue({code: 'custom', message: `"${item}" is not vm@host:port`});
      return [];
    }
    const [, id = '', host = '', peerPort = ''] = match;
    return [{id, host, port: Number(peerPort)}];
  });
}
