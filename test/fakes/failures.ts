/** Assertions on calls that are expected to fail. */
import {expect} from 'vitest';

/** Asserts that a statement fails with this SQLSTATE. */
export function expectSqlstate(
  call: Promise<unknown>,
  code: string,
): Promise<void> {
  return expect(call).rejects.toMatchObject({code});
}

/** Asserts that a call fails with an error of this kind. */
export function expectFailure(
  call: Promise<unknown>,
  kind: string,
): Promise<void> {
  return expect(call).rejects.toMatchObject({kind});
}
