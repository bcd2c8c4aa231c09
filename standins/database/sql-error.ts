/** Error with a SQLSTATE code, sent to the client as an ErrorResponse. */
export class SqlError extends Error {
  constructor(
    readonly code: string,
    message: string,
    readonly severity: 'ERROR' | 'FATAL' = 'ERROR',
  ) {
    super(message);
    this.name = 'SqlError';
  }
}
