/** Answers that a session gives without its group. */
import type {Statement} from '../routing/statement.js';
import {toErrorFields} from '../verdict/sqlstate.js';
import {notRun} from '../verdict/verdict.js';
import {
  commandComplete,
  emptyQueryResponse,
  errorResponse,
  singleValue,
  type ErrorFields,
} from './messages.js';
import type {SessionOutput} from './session-output.js';
import type {SessionParameters} from './session-parameters.js';

/** Answers what no database needs to see and refuses what is not served. */
export class LocalAnswers {
  readonly #output: SessionOutput;
  readonly #parameters: SessionParameters;
  #refused = false;

  constructor(output: SessionOutput, parameters: SessionParameters) {
    this.#output = output;
    this.#parameters = parameters;
  }

  /** Answers a statement of a simple query; false if a database has to. */
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
        return this.refuseUnserved(statement);
    }
  }

  /** Refuses what a batch can't do; true if it was refused. */
  refuseUnserved(statement: Statement): boolean {
    switch (statement.kind) {
      case 'unsupported':
        this.#refuseUnsupported(statement.message);
        return true;
      case 'invalid': {
        const {sqlstate, message} = statement;
        this.refuse({severity: 'ERROR', sqlstate, message});
        return true;
      }
      case 'set':
      case 'show': {
        const command = statement.kind.toUpperCase();
        this.#refuseUnsupported(`send ${command} as a simple query`);
        return true;
      }
      default:
        return false;
    }
  }

  /** Sends an error of the proxy's own. */
  refuse(fields: ErrorFields): void {
    this.#refused = true;
    this.#output.add(errorResponse(fields));
  }

  /** Whether it refused anything since this was last asked. */
  takeRefused(): boolean {
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
    this.#output.add(singleValue(name, value));
    this.#output.add(commandComplete('SHOW'));
  }

  #refuseUnsupported(message: string): void {
    this.refuse(toErrorFields(notRun('unsupported', message)));
  }
}
