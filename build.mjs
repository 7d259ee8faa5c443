// One bundled file: a controller starts on a small share of a core, and reading hundreds of
// small modules would cost it more than running them.
import { build } from 'esbuild';
import { readFileSync } from 'node:fs';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

await build({
  entryPoints: ['src/cli/main.ts'],
  outfile: 'target/main.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  define: { 'process.env.QUILLHEAD_VERSION': JSON.stringify(version) },
  logLevel: 'warning',
});
