import js from '@eslint/js';
import ts from 'typescript-eslint';

export default ts.config(js.configs.recommended, ...ts.configs.strict, {
  languageOptions: { globals: { process: 'readonly', URL: 'readonly', setTimeout: 'readonly' } },
  rules: {
    '@typescript-eslint/no-non-null-assertion': 'off',
    '@typescript-eslint/consistent-type-imports': 'error',
    eqeqeq: 'error',
  },
});
