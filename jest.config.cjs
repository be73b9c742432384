/** Jest runs the TypeScript sources directly; swc only strips types. */
module.exports = {
  testEnvironment: 'node',
  roots: ['<rootDir>/tests'],
  testMatch: ['**/*.spec.ts'],
  transform: {
    '^.+\\.(t|j|mj)s$': [
      '@swc/jest',
      {
        jsc: {parser: {syntax: 'typescript'}, target: 'es2022'},
        module: {type: 'commonjs'},
      },
    ],
  },
  transformIgnorePatterns: [
    '/node_modules/(?!(meow|pure-rand|ini|shell-quote)/)',
  ],
  globalSetup: '<rootDir>/tests/fixtures/buildPrograms.ts',
  testTimeout: 20000,
};
