/** Generators of odd values for the decoders. */
import fc from 'fast-check';

const DEEP_LEVELS = 20_000;

function nest(levels: number): unknown {
  let value: unknown = [];
  for (let n = 0; n < levels; n++) value = n % 2 === 0 ? [value] : {a: value};
  return value;
}

const DEEP = nest(DEEP_LEVELS);

/** A value that a decoder may find where it expects another one. */
export const oddValueArb: fc.Arbitrary<unknown> = fc.oneof(
  fc.constantFrom<unknown>(
    undefined,
    null,
    true,
    '',
    '\r\nQUERY - WRITE a b\r\n',
    '\ud800',
    '__proto__',
    {__proto__: null},
    NaN,
    Infinity,
    -Infinity,
    -0,
    -1,
    0.5,
    2 ** 31,
    2 ** 53,
    1e308,
    10n,
    new Uint8Array([255, 0, 13, 10]),
    DEEP,
  ),
  fc.anything({withBigInt: true, withTypedArray: true}),
  fc.string({unit: 'binary'}),
);

/** Replaces, removes or adds parts of a sound value, up to `changes` times. */
export function mutatedArb(sound: unknown, changes = 3): fc.Arbitrary<unknown> {
  const change = fc.record({at: fc.nat(), odd: oddValueArb, how: fc.nat(3)});
  return fc
    .array(change, {minLength: 1, maxLength: changes})
    .map(list => list.reduce((value, each) => mutate(value, each), sound));
}

interface Change {
  readonly at: number;
  readonly odd: unknown;
  readonly how: number;
}

/** Applies a change at the part of a value that `at` selects. */
function mutate(value: unknown, change: Change): unknown {
  const {at, odd, how} = change;
  if (typeof value !== 'object' || value === null || at % 7 === 0) return odd;
  if (value instanceof Uint8Array || value === DEEP) return odd;
  const keys = Object.keys(value);
  const key = keys[at % Math.max(1, keys.length)] ?? 'added';
  const copy: Record<string, unknown> | unknown[] = Array.isArray(value)
    ? [...(value as unknown[])]
    : {...(value as Record<string, unknown>)};
  const fields = copy as Record<string, unknown>;
  if (how === 0 && Array.isArray(copy)) copy.splice(at % (copy.length + 1), 1);
  else if (how === 0) delete fields[key];
  else if (how === 1) fields[key] = odd;
  else
    fields[key] = mutate(fields[key], {...change, at: Math.floor(at / 3) + 1});
  return copy;
}

/** Removes, repeats, replaces and cuts parts of a text. */
export function mutatedTextArb(text: string): fc.Arbitrary<string> {
  const piece = fc.oneof(
    fc.constantFrom('\r', '\n', '\r\n', ' ', '\0', '"', '{', '[', '1e400', '='),
    fc.string({unit: 'binary', maxLength: 8}),
  );
  const edit = fc.record({from: fc.nat(), length: fc.nat(20), piece});
  return fc.array(edit, {maxLength: 6}).map(edits =>
    edits.reduce((current, {from, length, piece: inserted}) => {
      const at = from % (current.length + 1);
      return current.slice(0, at) + inserted + current.slice(at + length);
    }, text),
  );
}
