// One bundled file and V8's compiled form of it: a controller starts on a small share of a core,
// and reading and compiling hundreds of modules would cost it more than running them.
//   node build.mjs         bundles into target/app.js and writes the loader target/main.js
//   node FLAGS build.mjs cache   adds target/app.cache; FLAGS as in deploy/service.toml's run
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import vm from 'node:vm';

/** The program's `warm` command is over by then. */
const WARM_MS = 6000;

const app = new URL('target/app.js', import.meta.url).pathname;
const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

async function bundle() {
  const { build } = await import('esbuild');
  await build({
    entryPoints: ['src/cli/main.ts'],
    outfile: app,
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

async function cache() {
  const script = new vm.Script(readFileSync(app, 'utf8'), { filename: app });
  process.argv = [process.argv[0], app, 'warm'];
  const module = { exports: {} };
  script.runInThisContext()(module.exports, createRequire(app), module, app, 'target');
  // What the command has called by now is compiled, and goes into the cache.
  await new Promise((done) => setTimeout(done, WARM_MS));
  writeFileSync('target/app.cache', script.createCachedData());
  process.exit(0);
}

await (process.argv[2] === 'cache' ? cache() : bundle());
