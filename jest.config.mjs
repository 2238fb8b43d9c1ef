export default {
  testEnvironment: 'node',
  testMatch: [
    '<rootDir>/packages/**/*.test.ts',
    '<rootDir>/platform/**/*.test.ts',
    '<rootDir>/marjorammast-app/**/*.test.ts',
    '<rootDir>/scripts/**/*.test.ts',
  ],
  transform: {
    '^.+\\.(t|j|m)s$': [
      '@swc/jest',
      { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' }, module: { type: 'commonjs' } },
    ],
  },
  testTimeout: 120000,
};
