import { readFileSync } from 'node:fs';
import { findNodeAtLocation, parse, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import type { z } from 'zod';

/** One mistake in a document. */
export type Mistake = { file: string; line: number; column: number; path: string; message: string };

/** A checked document, or all its mistakes. */
export type Reading<T> = { type: 'valid'; value: T } | { type: 'invalid'; mistakes: Mistake[] };

const positionAt = (text: string, offset: number): { line: number; column: number } => {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before[before.length - 1]?.length ?? 0) + 1 };
};

const syntaxMistakes = (file: string, text: string, errors: ParseError[]): Mistake[] =>
  errors.map(({ error, offset }) => ({
    file,
    ...positionAt(text, offset),
    path: '',
    message: printParseErrorCode(error),
  }));

const schemaMistakes = (file: string, text: string, error: z.ZodError): Mistake[] => {
  const tree = parseTree(text);
  const locate = (path: (string | number)[]): number => {
    const node = tree && findNodeAtLocation(tree, path);
    if (node) return node.parent?.type === 'property' ? node.parent.offset : node.offset;
    return path.length > 0 ? locate(path.slice(0, -1)) : 0;
  };
  return error.issues.flatMap((issue) => {
    const path = issue.path as (string | number)[];
    const keys = issue.code === 'unrecognized_keys' ? issue.keys : [undefined];
    return keys.map((key) => {
      const full = key === undefined ? path : [...path, key];
      const message = key === undefined ? issue.message : `unknown key "${key}"`;
      return { file, ...positionAt(text, locate(full)), path: full.join('.'), message };
    });
  });
};

/**
 * Checks a JSON document with comments against a schema.
 *
 * @param file - name of the file, for the mistakes
 * @param text - its content
 * @param schema - what it must look like
 * @returns the value, or every mistake with its place
 */
export const checkDocument = <T>(file: string, text: string, schema: z.ZodType<T>): Reading<T> => {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) {
    return { type: 'invalid', mistakes: syntaxMistakes(file, text, errors) };
  }
  const checked = schema.safeParse(value);
  if (checked.success) return { type: 'valid', value: checked.data };
  return { type: 'invalid', mistakes: schemaMistakes(file, text, checked.error) };
};

/**
 * Reads and checks a JSON document with comments.
 *
 * @param file - path of the file
 * @param schema - what it must look like
 * @returns the value, or every mistake with its place
 */
export const readDocument = <T>(file: string, schema: z.ZodType<T>): Reading<T> => {
  try {
    return checkDocument(file, readFileSync(file, 'utf8'), schema);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return { type: 'invalid', mistakes: [{ file, line: 0, column: 0, path: '', message }] };
  }
};

/**
 * Renders a mistake for a person.
 *
 * @param mistake - the mistake
 * @returns one line: file, line, column, path of the key, message
 */
export const formatMistake = ({ file, line, column, path, message }: Mistake): string =>
  `${file}:${line}:${column}: ${path ? `${path}: ` : ''}${message}`;
