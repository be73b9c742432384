// Bundles each program to one CommonJS file in dist/; with --binary it also
// makes the single executable dist/marlpulley.
import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  existsSync,
  mkdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import path from 'node:path';
import {build} from 'esbuild';

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const ENTRY_POINTS = {
  'marlpulley-app': 'src/cli/main.ts',
  fakes: 'fakes/main.ts',
  bench: 'bench/main.ts',
  capacity: 'bench/capacity/main.ts',
  fuzz: 'bench/fuzz.ts',
  faults: 'bench/faults/main.ts',
  soak: 'bench/soak/main.ts',
  viaRelays: 'bench/deployment/viaRelays.ts',
  mutants: 'bench/mutants.ts',
  ablate: 'bench/ablate.ts',
  quickstart: 'bench/quickstart.ts',
};

// `--program FOLDER` builds only the marlpulley program, for a deployment.
const only = process.argv.indexOf('--program');
const folder = only < 0 ? 'dist' : process.argv[only + 1];
const entryPoints =
  only < 0 ? ENTRY_POINTS : {marlpulley: ENTRY_POINTS['marlpulley-app']};
const dist = path.resolve(import.meta.dirname, '..', folder);
mkdirSync(dist, {recursive: true});
for (const [name, source] of Object.entries(entryPoints)) {
  if (!existsSync(source)) continue;
  await build({
    entryPoints: [source],
    outfile: path.join(dist, `${name}.cjs`),
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // Optional native add-ons of hot-shots and bunyan, which work without them.
    // Only the mutant runner uses esbuild, and loads it from node_modules.
    external: ['unix-dgram', 'dtrace-provider', 'esbuild'],
    // meow is an ES module that reads import.meta.url.
    define: {'import.meta': 'bundleMeta'},
    banner: {
      js: "const bundleMeta = {url: require('node:url').pathToFileURL(__filename).href};",
    },
    sourcemap: false,
    // Each process keeps its program text in memory, so it is minified. Names
    // stay readable in stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    // Node prints the source line of an uncaught error, so lines stay short.
    lineLimit: 120,
    logLevel: 'warning',
  });
}
if (process.argv.includes('--binary')) makeBinary();

function makeBinary() {
  const config = path.join(dist, 'sea.json');
  const blob = path.join(dist, 'sea.blob');
  const binary = path.join(dist, 'marlpulley');
  writeFileSync(
    config,
    JSON.stringify({
      main: path.join(dist, 'marlpulley-app.cjs'),
      output: blob,
      disableExperimentalSEAWarning: true,
    })
  );
  execFileSync(process.execPath, ['--experimental-sea-config', config], {
    stdio: 'pipe',
  });
  rmSync(binary, {force: true});
  copyFileSync(process.execPath, binary);
  chmodSync(binary, 0o755);
  const postject = path.resolve(
    dist,
    '..',
    'node_modules',
    'postject',
    'dist',
    'cli.js'
  );
  execFileSync(
    process.execPath,
    [postject, binary, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', SENTINEL],
    {stdio: 'pipe'}
  );
}
