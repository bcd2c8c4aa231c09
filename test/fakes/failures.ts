/** Checks of calls that fail. */
import {expect} from 'vitest';

/** Expects a statement to fail with a SQLSTATE. */
export function expectSqlstate(
  call: Promise<unknown>,
  code: string,
): Promise<void> {
  return expect(call).rejects.toMatchObject({code});
}

/** Expects a call to fail with an error of a kind. */
export function expectFailure(
  call: Promise<unknown>,
  kind: string,
): Promise<void> {
  return expect(call).rejects.toMatchObject({kind});
}
