/** Node settings from flags and `ZINNIA_*` variables, validated at start. */
import * as z from 'zod';
import type {PeerAddress} from '../peers/types.js';
import {DEFAULT_MAX_WAIT_MS} from '../routing/replica-choice.js';

/** Names, description and default of a setting. */
export interface SettingInfo {
  readonly flag: string;
  readonly variable: string;
  readonly description: string;
  readonly fallback: string | undefined;
}

const port = z.coerce.number().int().min(0).max(65_535);
const milliseconds = z.coerce.number().int().min(1).max(3_600_000);
const secret = z.string().min(16);

/** Each setting with its schema, its default as text and its description. */
const DEFINITIONS = {
  vm: {
    schema: z.string().min(1).max(64),
    description: 'Name of this VM, as the platform lists it.',
  },
  dataCentre: {
    schema: z.string().min(1).max(64),
    description: 'Data centre of this VM.',
  },
  host: {
    schema: z.string().min(1),
    fallback: '127.0.0.1',
    description: 'IP address to listen on.',
  },
  port: {
    schema: port,
    fallback: '6432',
    description: 'Port for callers (PostgreSQL protocol).',
  },
  peerPort: {
    schema: port,
    fallback: '6433',
    description: 'Port for other nodes.',
  },
  adminPort: {
    schema: port,
    fallback: '6434',
    description: 'Port for operators (HTTP).',
  },
  store: {
    schema: z
      .string()
      .regex(/^https?:\/\//, 'must start with http:// or https://'),
    description: "URL of the platform's key-value service.",
  },
  seeds: {
    schema: z.string().transform(readSeeds),
    fallback: '',
    description:
      'Peers to ask when the store is out at start-up: vm@host:port, separated by commas.',
  },
  targetUser: {
    schema: z.string().min(1),
    description: "The node's own user at the targets.",
  },
  targetPassword: {
    schema: z.string().min(1),
    description: "The node's own password at the targets.",
  },
  tokenSecret: {
    schema: secret,
    description:
      'Secret that signs session tokens; the same on every VM, at least 16 characters.',
  },
  previousTokenSecret: {
    schema: z.union([z.literal(''), secret]),
    fallback: '',
    description: 'Secret of before, still accepted while it is replaced.',
  },
  peerSecret: {
    schema: secret,
    description:
      'Secret by which nodes recognise one another, at least 16 characters.',
  },
  tlsCert: {
    schema: z.string(),
    fallback: '',
    description:
      'PEM file of the certificate for callers; empty serves plain connections only.',
  },
  tlsKey: {
    schema: z.string(),
    fallback: '',
    description: 'PEM file of the key of that certificate.',
  },
  deadlineMs: {
    schema: milliseconds,
    fallback: '5000',
    description:
      'Milliseconds a statement may take, unless the session sets zinnia.deadline_ms.',
  },
  standingLimitMs: {
    schema: milliseconds,
    fallback: '3000',
    description:
      'Milliseconds without contact after which a node refuses keyed work.',
  },
  replicaWaitMs: {
    schema: z.coerce.number().int().min(0).max(60_000),
    fallback: String(DEFAULT_MAX_WAIT_MS),
    description:
      "Milliseconds a read may wait for a replica to show its session's writes before it goes to the primary.",
  },
  drainMs: {
    schema: milliseconds,
    fallback: '30000',
    description:
      'Milliseconds that a graceful shutdown waits for running work.',
  },
  maxCallers: {
    schema: z.coerce.number().int().min(1).max(1_000_000),
    fallback: '20000',
    description: 'Caller connections that this node accepts.',
  },
  logLevel: {
    schema: z.enum(['silent', 'error', 'warn', 'info', 'debug']),
    fallback: 'info',
    description: 'How much is logged.',
  },
} as const satisfies Record<
  string,
  {schema: z.ZodType; fallback?: string; description: string}
>;

type Definitions = typeof DEFINITIONS;

/** Validated settings; the object is frozen. */
export type NodeSettings = {
  readonly [K in keyof Definitions]: z.output<Definitions[K]['schema']>;
};

/** A missing or invalid setting. */
export interface SettingFault {
  readonly flag: string;
  readonly variable: string;
  readonly value: string | undefined;
  readonly message: string;
}

/** Thrown for missing or invalid settings; the message lists all of them. */
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

/** Returns the description of every setting, in the order of the reference. */
export function describeSettings(): readonly SettingInfo[] {
  return Object.entries(DEFINITIONS).map(([name, definition]) => ({
    flag: toKebabCase(name),
    variable: `ZINNIA_${toKebabCase(name).toUpperCase().replaceAll('-', '_')}`,
    description: definition.description,
    fallback: 'fallback' in definition ? definition.fallback : undefined,
  }));
}

/**
 * Resolves each setting from its flag, else its variable, else its default.
 *
 * @param flags values by flag name, such as `{'peer-port': '6433'}`
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
    const flag = toKebabCase(name);
    const variable = `ZINNIA_${flag.toUpperCase().replaceAll('-', '_')}`;
    const fallback = 'fallback' in definition ? definition.fallback : undefined;
    const value = flags[flag] ?? env[variable] ?? fallback;
    const parsed = definition.schema.safeParse(value);
    if (parsed.success) {
      resolved[name] = parsed.data;
      continue;
    }
    const message =
      value === undefined
        ? `set it. ${definition.description}`
        : `${parsed.error.issues[0]?.message}. ${definition.description}`;
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

function toKebabCase(name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/** Parses `vm@host:port,...`. */
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
