// Bundles the program into one file and adds V8's compiled code for it. A controller starts on a small share
// of a core, where reading and compiling hundreds of modules would take longer than running them.
//   node build.mjs               bundles into target/app.js and writes its loader, target/main.js
//   node FLAGS build.mjs cache   writes target/app.cache; FLAGS must be those of `run` in deploy/service.toml
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import vm from 'node:vm';

/** Time within which the program's `warm` command finishes. */
const WARM_UP_MS = 6000;

const appFile = new URL('target/app.js', import.meta.url).pathname;
const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

async function bundle() {
  const { build } = await import('esbuild');
  await build({
    entryPoints: ['src/cli/main.ts'],
    outfile: appFile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: 'none',
    banner: { js: '(function (exports, require, module, __filename, __dirname) {' },
    footer: { js: '})' },
    define: { 'process.env.QUILLHEAD_VERSION': JSON.stringify(version) },
    logLevel: 'warning',
  });
  writeFileSync('target/package.json', '{"type":"commonjs"}');
  writeFileSync(
    'target/main.js',
    `#!/usr/bin/env node
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');
const file = join(__dirname, 'app.js');
const cache = join(__dirname, 'app.cache');
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
new Script(readFileSync(file, 'utf8'), { filename: file, cachedData })
  .runInThisContext()(exports, require, module, file, __dirname);
`,
  );
}

async function writeCache() {
  const script = new vm.Script(readFileSync(appFile, 'utf8'), { filename: appFile });
  process.argv = [process.argv[0], appFile, 'warm'];
  const module = { exports: {} };
  script.runInThisContext()(module.exports, createRequire(appFile), module, appFile, 'target');
  // The functions that the command has called are compiled by now and are included in the cache.
  await new Promise((done) => setTimeout(done, WARM_UP_MS));
  writeFileSync('target/app.cache', script.createCachedData());
  process.exit(0);
}

await (process.argv[2] === 'cache' ? writeCache() : bundle());
