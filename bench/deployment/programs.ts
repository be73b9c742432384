/** Paths of the built programs, which stand beside the running one. */

import path from 'node:path';
import type {Programs} from './deployment';

/** For programs in dist/. */
export const BUILT_PROGRAMS: Programs = {
  app: path.join(__dirname, 'marlpulley-app.cjs'),
  fakes: path.join(__dirname, 'fakes.cjs'),
};
