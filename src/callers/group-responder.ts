/** Runs batches on a session's database group and reports their errors. */
import type {TokenSigner} from '../session/token-signer.js';
import {toErrorFields} from '../verdict/sqlstate.js';
import type {Verdict} from '../verdict/verdict.js';
import {
  onlyEndsTransaction,
  continuesAfterRollback,
  rollbackAnswer,
  TRANSACTION_ABORTED,
} from './aborted-transaction.js';
import {errorResponse, parameterStatus, type ErrorFields} from './messages.js';
import type {SessionOutput} from './session-output.js';
import {TOKEN_PARAMETER, type SessionParameters} from './session-parameters.js';
import type {RunRequest, StatementRunner} from './statement-runner.js';

/** Dependencies of a responder. */
export interface GroupResponderOptions {
  readonly output: SessionOutput;
  readonly parameters: SessionParameters;
  readonly runner: StatementRunner;
  readonly signer: TokenSigner;
}

/**
 * Runs batches on the database group. Answers of the database stream to the
 * request's sink; errors and new session tokens go to the session's output.
 */
export class GroupResponder {
  readonly #options: GroupResponderOptions;

  constructor(options: GroupResponderOptions) {
    this.#options = options;
  }

  /**
   * Runs a batch, or answers it itself if the transaction is already aborted.
   * Returns an error if it must end the session.
   */
  async run(req: RunRequest): Promise<ErrorFields | undefined> {
    const {runner, parameters} = this.#options;
    if (runner.isAborted && !continuesAfterRollback(req.classification)) {
      await this.#answerAborted(req);
      return undefined;
    }
    if (runner.isAborted) runner.endAbortedTransaction();
    const before = parameters.token;
    const {verdict} = await runner.run(req);
    if (verdict.kind !== 'done') return this.#sendVerdict(verdict);
    const wrote = req.classification.strictest.kind !== 'read';
    if (wrote && parameters.token !== before) this.#sendToken();
    return undefined;
  }

  async #answerAborted(req: RunRequest): Promise<void> {
    const {runner, output} = this.#options;
    if (!onlyEndsTransaction(req.classification)) {
      return output.add(errorResponse(TRANSACTION_ABORTED));
    }
    runner.endAbortedTransaction();
    await req.sink(rollbackAnswer(req.frames));
  }

  #sendVerdict(
    verdict: Exclude<Verdict, {kind: 'done'}>,
  ): ErrorFields | undefined {
    const fields = toErrorFields(verdict);
    // FATAL is sent later, when no transaction or batch is open.
    this.#options.output.add(errorResponse({...fields, severity: 'ERROR'}));
    return fields.severity === 'FATAL' ? fields : undefined;
  }

  #sendToken(): void {
    const {output, parameters, signer} = this.#options;
    const text = parameters.token.encode(signer);
    output.add(parameterStatus(TOKEN_PARAMETER, text));
  }
}
