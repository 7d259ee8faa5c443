import js from '@eslint/js';
import ts from 'typescript-eslint';

const MAX_FILE_LINES = 300;
const MAX_FUNCTION_LINES = 40;
const MAX_PARAMETERS = 7;

/** Files in which the length of functions is limited. The others are to be added as they are refactored. */
const FILES_WITH_SHORT_FUNCTIONS = [
  'src/actors/{acknowledgements,admission,direct-calls,first-reports,follower,hand-over,introductions,key-values,leader,leader-sight,lease,lock,log,node-pace,pending-facts,pulse}.ts',
  'src/actors/{reach-claims,report-intake,round,snapshot,snapshotter,state-service-doubt,task-progress,token-bucket,uncertain-answers}.ts',
  'src/actors/{user-requests,worker-reach,worker-view,workers,write-copies}.ts',
  'src/core/{chunked,claims,fit,model,orderly-stops,placement,resources,rooms,state-dump,types}.ts',
  'src/core/{unsettled-calls,waiting-tasks,zones}.ts',
  'tools/**/*.ts',
];

export default ts.config(
  js.configs.recommended,
  ...ts.configs.strict,
  {
    languageOptions: { globals: { process: 'readonly', URL: 'readonly', setTimeout: 'readonly' } },
    rules: {
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      eqeqeq: 'error',
    },
  },
  {
    files: ['src/**/*.ts', 'tools/**/*.ts'],
    rules: {
      'max-lines': ['error', MAX_FILE_LINES],
      '@typescript-eslint/max-params': ['error', { max: MAX_PARAMETERS }],
    },
  },
  {
    files: FILES_WITH_SHORT_FUNCTIONS,
    rules: {
      'max-lines-per-function': ['error', { max: MAX_FUNCTION_LINES }],
      '@typescript-eslint/no-shadow': 'error',
    },
  },
);
