/**
 * Encoding of statements and their results between peers. Fields are sent by
 * position instead of by name, as traffic between data centres costs more than
 * encoding.
 */
import type {Consistency} from '../catalog/types.js';
import {decodeLoad, encodeLoad, type WireLoad} from '../load/report-codec.js';
import type {DatabaseLoad} from '../load/types.js';
import type {Position} from '../session/position.js';
import type {
  CallerStatement,
  DatabaseErrorCode,
  PreparedStatement,
  StatementOutput,
} from '../statements/types.js';
import type {TransactionStatus} from '../targets/types.js';
import type {Verdict} from '../verdict/verdict.js';
import type {SessionValues} from './team-connection.js';
import type {StatementRequest, StatementResult} from './statement-request.js';

const ACCESSES: readonly CallerStatement['access'][] = [
  'read',
  'write',
  'commit',
];
const CONSISTENCIES: readonly Consistency[] = ['primary', 'bounded', 'session'];
const KINDS: readonly StatementRequest['kind'][] = ['read', 'write'];
const OPENINGS: readonly StatementRequest['opens'][] = [
  undefined,
  'readOnly',
  'readWrite',
];
const STATES: readonly TransactionStatus[] = ['idle', 'open', 'failed'];

type WirePosition = readonly [term: number, offset: number] | 0;

/** A request as sent between peers. */
export type WireRequest = readonly [
  sessionId: string,
  group: string,
  team: string,
  kind: number,
  priority: number,
  deadlineMs: number,
  commits: boolean,
  pin: string,
  requestId: string,
  access: number,
  text: string,
  prepared: readonly [access: number, shape: string] | 0,
  consistency: number,
  maxStalenessMs: number,
  aimMs: number,
  position: WirePosition,
  values: SessionValues | 0,
  opens: number,
  nearOnly: boolean,
  fullReplica?: WireLoad,
];

/** A result as sent between peers; the verdict `done` is sent as 0. */
export type WireResult = readonly [
  verdict: Verdict | 0,
  transaction: number,
  pin: string,
  position: WirePosition,
  rows: readonly string[] | 0,
  signature: string,
  error: readonly [code: DatabaseErrorCode, detail: string] | 0,
  fullReplica?: WireLoad,
];

/** Encodes a request. */
export function encodeRequest(req: StatementRequest): WireRequest {
  const {statement} = req;
  const {prepared} = statement;
  return [
    req.sessionId,
    req.group,
    req.team,
    KINDS.indexOf(req.kind),
    req.priority,
    Math.round(req.deadlineMs),
    req.commits,
    req.pin ?? '',
    statement.requestId,
    ACCESSES.indexOf(statement.access),
    statement.text,
    prepared === undefined
      ? 0
      : [ACCESSES.indexOf(prepared.access), prepared.shape],
    CONSISTENCIES.indexOf(req.consistency),
    req.maxStalenessMs,
    Math.round(req.latencyGoalMs),
    encodePosition(req.position),
    Object.keys(req.values).length === 0 ? 0 : req.values,
    OPENINGS.indexOf(req.opens),
    req.nearOnly ?? false,
    ...encodeOptionalLoad(req.fullReplica),
  ];
}

/** Decodes a request; undefined if it is malformed. */
export function decodeRequest(body: unknown): StatementRequest | undefined {
  if (!Array.isArray(body)) return undefined;
  if (body.length < REQUEST_FIELDS || body.length > REQUEST_FIELDS + 1)
    return undefined;
  const [
    sessionId,
    group,
    team,
    kind,
    priority,
    deadlineMs,
    commits,
    pin,
    requestId,
    access,
    text,
    prepared,
    consistency,
    maxStalenessMs,
    aimMs,
    position,
    values,
    opens,
    nearOnly,
    fullReplica,
  ] = body as unknown as WireRequest;
  if (typeof group !== 'string' || typeof text !== 'string') return undefined;
  if (!Number.isInteger(priority)) return undefined;
  return {
    sessionId,
    group,
    team,
    kind: KINDS[kind] ?? 'write',
    priority,
    deadlineMs,
    commits,
    pin: pin === '' ? undefined : pin,
    statement: {
      requestId,
      access: ACCESSES[access] ?? 'write',
      text,
      prepared: prepared === 0 ? undefined : decodePrepared(prepared),
    },
    consistency: CONSISTENCIES[consistency] ?? 'primary',
    maxStalenessMs,
    latencyGoalMs: aimMs,
    position: decodePosition(position),
    values: values === 0 ? {} : values,
    opens: OPENINGS[opens],
    nearOnly: nearOnly || undefined,
    ...(fullReplica && {fullReplica: decodeLoad(fullReplica)}),
  };
}

/** Encodes a result. */
export function encodeResult(result: StatementResult): WireResult {
  const {verdict, output} = result;
  return [
    verdict.kind === 'done' ? 0 : verdict,
    STATES.indexOf(result.transaction),
    result.pin ?? '',
    encodePosition(result.position),
    output === undefined ? 0 : output.rows,
    output?.signature ?? '',
    output?.error === undefined ? 0 : [output.error.code, output.error.detail],
    ...encodeOptionalLoad(result.fullReplica),
  ];
}

/** Decodes a result. */
export function decodeResult(body: unknown): StatementResult {
  const [
    verdict,
    transaction,
    pin,
    position,
    rows,
    signature,
    error,
    fullReplica,
  ] = body as WireResult;
  const output: StatementOutput | undefined =
    rows === 0
      ? undefined
      : {
          rows,
          signature,
          error: error === 0 ? undefined : {code: error[0], detail: error[1]},
        };
  return {
    verdict: verdict === 0 ? {kind: 'done'} : verdict,
    transaction: STATES[transaction] ?? 'idle',
    pin: pin === '' ? undefined : pin,
    position: decodePosition(position),
    output,
    ...(fullReplica && {fullReplica: decodeLoad(fullReplica)}),
  };
}

/** Fields of a request without those that are left out when unset. */
const REQUEST_FIELDS = 19;

/** A field that is left out when unset: few statements carry it. */
function encodeOptionalLoad(
  load: DatabaseLoad | undefined,
): readonly [] | readonly [WireLoad] {
  return load === undefined ? [] : [encodeLoad(load)];
}

function decodePrepared([access, shape]: readonly [
  number,
  string,
]): PreparedStatement {
  return {access: access === 0 ? 'read' : 'write', shape};
}

function encodePosition(position: Position | undefined): WirePosition {
  return position === undefined ? 0 : [position.term, position.offset];
}

function decodePosition(position: WirePosition): Position | undefined {
  return position === 0 ? undefined : {term: position[0], offset: position[1]};
}
