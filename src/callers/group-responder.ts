/** Answers that a session gets from its group. */
import type {TokenSigner} from '../session/token-signer.js';
import {toErrorFields} from '../verdict/sqlstate.js';
import type {Verdict} from '../verdict/verdict.js';
import {
  isEnd,
  isRestart,
  rollbackAnswer,
  TRANSACTION_ABORTED,
} from './broken-transaction.js';
import {errorResponse, parameterStatus, type ErrorFields} from './messages.js';
import type {SessionOutput} from './session-output.js';
import {TOKEN_PARAMETER, type SessionParameters} from './session-parameters.js';
import type {RunRequest, StatementRunner} from './statement-runner.js';

/** What the answers are built from. */
export interface GroupAnswersOptions {
  readonly output: SessionOutput;
  readonly parameters: SessionParameters;
  readonly runner: StatementRunner;
  readonly signer: TokenSigner;
}

/** Runs batches on the group and says how those ended that failed. */
export class GroupAnswers {
  readonly #options: GroupAnswersOptions;

  constructor(options: GroupAnswersOptions) {
    this.#options = options;
  }

  /**
   * Runs a batch, or answers for a transaction that is rolled back already.
   * Returns the error after which the session has to end, if there is one.
   */
  async run(req: RunRequest): Promise<ErrorFields | undefined> {
    const {runner, parameters} = this.#options;
    if (runner.isBroken && !isRestart(req.classification)) {
      await this.#answerBroken(req);
      return undefined;
    }
    if (runner.isBroken) runner.endBroken();
    const before = parameters.token;
    const {verdict} = await runner.run(req);
    if (verdict.kind !== 'done') return this.#sendVerdict(verdict);
    const wrote = req.classification.strictest.kind !== 'read';
    if (wrote && parameters.token !== before) this.#sendToken();
    return undefined;
  }

  async #answerBroken(req: RunRequest): Promise<void> {
    const {runner, output} = this.#options;
    if (!isEnd(req.classification)) {
      return output.add(errorResponse(TRANSACTION_ABORTED));
    }
    runner.endBroken();
    await req.sink(rollbackAnswer(req.frames));
  }

  #sendVerdict(
    verdict: Exclude<Verdict, {kind: 'done'}>,
  ): ErrorFields | undefined {
    const fields = toErrorFields(verdict);
    // A fatal error follows once the session is between two requests.
    this.#options.output.add(errorResponse({...fields, severity: 'ERROR'}));
    return fields.severity === 'FATAL' ? fields : undefined;
  }

  #sendToken(): void {
    const {output, parameters, signer} = this.#options;
    const text = parameters.token.encode(signer);
    output.add(parameterStatus(TOKEN_PARAMETER, text));
  }
}
