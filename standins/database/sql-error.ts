/** A failed statement, as ErrorResponse reports it. */
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
