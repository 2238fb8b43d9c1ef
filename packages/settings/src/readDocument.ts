import { readFileSync } from 'node:fs';
import { findNodeAtLocation, parse, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import type * as z from 'zod';

/** One mistake in a document, with its position. */
export type Mistake = { file: string; line: number; column: number; path: string; message: string };

/** Result of validating a document: its value, or all its mistakes. */
export type DocumentResult<T> =
  { type: 'valid'; value: T } | { type: 'invalid'; mistakes: Mistake[] };

const positionAt = (text: string, offset: number): { line: number; column: number } => {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before[before.length - 1]?.length ?? 0) + 1 };
};

const findSyntaxMistakes = (file: string, text: string, errors: ParseError[]): Mistake[] =>
  errors.map(({ error, offset }) => ({
    file,
    ...positionAt(text, offset),
    path: '',
    message: printParseErrorCode(error),
  }));

const findSchemaMistakes = (file: string, text: string, error: z.ZodError): Mistake[] => {
  const tree = parseTree(text);
  const findOffset = (path: (string | number)[]): number => {
    const node = tree && findNodeAtLocation(tree, path);
    if (node) return node.parent?.type === 'property' ? node.parent.offset : node.offset;
    return path.length > 0 ? findOffset(path.slice(0, -1)) : 0;
  };
  return error.issues.flatMap((issue) => {
    const path = issue.path as (string | number)[];
    const keys = issue.code === 'unrecognized_keys' ? issue.keys : [undefined];
    return keys.map((key) => {
      const fullPath = key === undefined ? path : [...path, key];
      const message = key === undefined ? issue.message : `unknown key "${key}"`;
      return { file, ...positionAt(text, findOffset(fullPath)), path: fullPath.join('.'), message };
    });
  });
};

/**
 * Validates a JSON document with comments (JSONC) against a schema.
 *
 * @param file - name of the file to show in the mistakes
 * @param text - content of the file
 * @param schema - schema of the document
 * @returns the value, or all mistakes with their positions
 */
export const checkDocument = <T>(
  file: string,
  text: string,
  schema: z.ZodType<T>,
): DocumentResult<T> => {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) {
    return { type: 'invalid', mistakes: findSyntaxMistakes(file, text, errors) };
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return { type: 'valid', value: parsed.data };
  return { type: 'invalid', mistakes: findSchemaMistakes(file, text, parsed.error) };
};

/**
 * Reads and validates a JSON document with comments (JSONC). A file that cannot be read counts as
 * one mistake at line 0 and column 0.
 *
 * @param file - path of the file
 * @param schema - schema of the document
 * @returns the value, or all mistakes with their positions
 */
export const readDocument = <T>(file: string, schema: z.ZodType<T>): DocumentResult<T> => {
  try {
    return checkDocument(file, readFileSync(file, 'utf8'), schema);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return { type: 'invalid', mistakes: [{ file, line: 0, column: 0, path: '', message }] };
  }
};

/**
 * Formats a mistake as one line of text.
 *
 * @param mistake - the mistake
 * @returns file, line, column, path of the key, and message
 */
export const formatMistake = ({ file, line, column, path, message }: Mistake): string =>
  `${file}:${line}:${column}: ${path ? `${path}: ` : ''}${message}`;
