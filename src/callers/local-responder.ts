/** Responses that the proxy gives without a database. */
import type {Statement} from '../routing/statement.js';
import {toErrorFields} from '../verdict/sqlstate.js';
import {notRun} from '../verdict/verdict.js';
import {
  commandComplete,
  emptyQueryResponse,
  errorResponse,
  singleValueResult,
  type ErrorFields,
} from './messages.js';
import type {SessionOutput} from './session-output.js';
import type {SessionParameters} from './session-parameters.js';

/** Answers SET, SHOW and empty queries, and refuses unsupported statements. */
export class LocalResponder {
  readonly #output: SessionOutput;
  readonly #parameters: SessionParameters;
  #refused = false;

  constructor(output: SessionOutput, parameters: SessionParameters) {
    this.#output = output;
    this.#parameters = parameters;
  }

  /** Answers a simple query; false if a database has to run it. */
  answer(statement: Statement): boolean {
    switch (statement.kind) {
      case 'empty':
        this.#output.add(emptyQueryResponse());
        return true;
      case 'set':
        this.#answerSet(statement.name, statement.value);
        return true;
      case 'show':
        this.#answerShow(statement.name);
        return true;
      default:
        return this.refuseIfUnsupported(statement);
    }
  }

  /** Refuses a statement that a batch can't run; false if it can. */
  refuseIfUnsupported(statement: Statement): boolean {
    switch (statement.kind) {
      case 'unsupported':
        this.#sendUnsupported(statement.message);
        return true;
      case 'invalid': {
        const {sqlstate, message} = statement;
        this.refuse({severity: 'ERROR', sqlstate, message});
        return true;
      }
      case 'set':
      case 'show': {
        const command = statement.kind.toUpperCase();
        this.#sendUnsupported(`send ${command} as a simple query`);
        return true;
      }
      default:
        return false;
    }
  }

  /** Sends an error of the proxy itself. */
  refuse(fields: ErrorFields): void {
    this.#refused = true;
    this.#output.add(errorResponse(fields));
  }

  /** True if anything was refused since the last call. */
  consumeRefused(): boolean {
    const refused = this.#refused;
    this.#refused = false;
    return refused;
  }

  #answerSet(name: string, value: string | undefined): void {
    const fault = this.#parameters.set(name, value);
    if (fault !== undefined) return this.refuse({severity: 'ERROR', ...fault});
    this.#output.add(commandComplete('SET'));
  }

  #answerShow(name: string): void {
    const value = this.#parameters.show(name);
    if (typeof value !== 'string') {
      return this.refuse({severity: 'ERROR', ...value});
    }
    this.#output.add(singleValueResult(name, value));
    this.#output.add(commandComplete('SHOW'));
  }

  #sendUnsupported(message: string): void {
    this.refuse(toErrorFields(notRun('unsupported', message)));
  }
}
