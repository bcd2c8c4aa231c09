/** Syntax tree of the supported SQL statements. */

/** A value in a statement: a parameter (numbered from 1) or a literal. */
export type Operand =
  | {readonly kind: 'parameter'; readonly index: number}
  | {readonly kind: 'literal'; readonly text: string};

/** The columns of every table. */
export type Column = 'id' | 'team' | 'value';

/** A condition `column = operand`. */
export interface Condition {
  readonly column: Column;
  readonly operand: Operand;
}

/** A read or write of a table. */
export type TableStatement =
  | {
      readonly kind: 'insert';
      readonly table: string;
      readonly values: readonly Operand[];
      readonly ignoreConflict: boolean;
    }
  | {
      readonly kind: 'update';
      readonly table: string;
      readonly mode: 'add' | 'subtract' | 'set';
      readonly value: Operand;
      readonly id: Operand;
    }
  | {readonly kind: 'delete'; readonly table: string; readonly id: Operand}
  | {
      readonly kind: 'select';
      readonly table: string;
      readonly columns: readonly Column[];
      readonly where: Condition | undefined;
    }
  | {
      readonly kind: 'count';
      readonly table: string;
      readonly where: Condition | undefined;
    };

/** A call of a control function of the schema `platform`. */
export type ControlStatement =
  | {readonly kind: 'status'}
  | {readonly kind: 'fence'; readonly term: number; readonly orderer: string}
  | {readonly kind: 'promote'; readonly term: number; readonly orderer: string}
  | {
      readonly kind: 'confirm';
      readonly term: number;
      readonly position: string;
      readonly timeoutMs: number;
    };

/** Any supported statement. */
export type Statement =
  | TableStatement
  | ControlStatement
  | {readonly kind: 'empty'}
  | {readonly kind: 'begin' | 'commit' | 'rollback'}
  | {readonly kind: 'one'}
  | {readonly kind: 'currentUser'}
  | {readonly kind: 'series'; readonly last: Operand}
  | {readonly kind: 'sleep'; readonly seconds: Operand};
