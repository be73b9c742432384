import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import tseslint from 'typescript-eslint';
import prettier from 'eslint-config-prettier';
import jsdoc from 'eslint-plugin-jsdoc';

const ROOT = import.meta.dirname;

/**
 * Finds the `imports.list` that governs a source file: the nearest one above
 * it. Each line is a folder, relative to the repository, that may be imported.
 */
function allowedFolders(file) {
  let dir = path.dirname(file);
  while (dir.startsWith(ROOT) && dir !== ROOT) {
    const list = path.join(dir, 'imports.list');
    if (existsSync(list)) {
      const lines = readFileSync(list, 'utf8').split('\n');
      const folders = lines
        .map(l => l.trim())
        .filter(l => l && !l.startsWith('#'));
      return {home: path.relative(ROOT, dir), folders};
    }
    dir = path.dirname(dir);
  }
  return undefined;
}

const importLimits = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      none: 'no imports.list above this file',
      denied: '{{home}}/imports.list does not allow {{target}}',
    },
  },
  create(context) {
    const file = context.filename;
    const limits = allowedFolders(file);
    const check = node => {
      const source = node.source?.value;
      if (typeof source !== 'string' || !source.startsWith('.')) return;
      if (!limits) {
        context.report({node, messageId: 'none'});
        return;
      }
      const target = path.relative(
        ROOT,
        path.resolve(path.dirname(file), source)
      );
      const inside = folder => target.startsWith(folder + '/');
      if (inside(limits.home) || limits.folders.some(inside)) return;
      context.report({
        node,
        messageId: 'denied',
        data: {home: limits.home, target},
      });
    };
    return {
      ImportDeclaration: check,
      ExportNamedDeclaration: check,
      ExportAllDeclaration: check,
      ImportExpression: check,
    };
  },
};

export default tseslint.config(
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'coverage/**',
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    rules: {
      eqeqeq: 'error',
      'prefer-const': 'error',
      'no-var': 'error',
      curly: ['error', 'multi-line'],
      'no-throw-literal': 'error',
      'max-lines': [
        'error',
        {max: 350, skipBlankLines: true, skipComments: true},
      ],
      'max-lines-per-function': [
        'warn',
        {max: 60, skipBlankLines: true, skipComments: true},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
    },
  },
  {
    files: ['src/**/*.ts', 'bench/**/*.ts', 'fakes/**/*.ts'],
    plugins: {marlpulley: {rules: {'import-limits': importLimits}}, jsdoc},
    rules: {
      'marlpulley/import-limits': 'error',
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {
            FunctionDeclaration: true,
            ClassDeclaration: true,
          },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
    },
  },
  {
    files: ['tests/**/*.ts', 'bench/**/*.ts'],
    rules: {'max-lines-per-function': 'off'},
  },
  prettier
);
